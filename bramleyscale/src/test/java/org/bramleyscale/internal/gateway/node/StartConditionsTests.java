package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link StartConditions}.
 */
class StartConditionsTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Set<String> met = new HashSet<>();

	private final List<String> logged = new ArrayList<>();

	private final StartConditions conditions = new StartConditions(this.scheduler,
			(kind, subject, fields) -> this.logged.add(subject[1] + " " + Arrays.toString(fields)))
		.add("configuration", () -> this.met.contains("configuration"))
		.add("endpoints", () -> this.met.contains("endpoints"));

	/** Guards against a daemon that isn't ready without a line that says why. */
	@Test
	void eachChangeOfWhatADaemonWaitsForIsLoggedOnce() {
		this.conditions.observe();
		this.conditions.observe();
		this.scheduler.advance(Duration.ofMillis(300));
		this.met.add("endpoints");
		this.conditions.observe();
		Truth.assertThat(this.conditions.unmet()).containsExactly("configuration");
		Truth.assertThat(this.conditions.allMet()).isFalse();
		this.met.add("configuration");
		this.conditions.observe();
		Truth.assertThat(this.conditions.allMet()).isTrue();
		Truth.assertThat(this.logged)
			.containsExactly("waiting [for, [configuration, endpoints], uptime_ms, 0]",
					"waiting [for, [configuration], uptime_ms, 300]", "able to serve [for, [], uptime_ms, 300]")
			.inOrder();
	}

}
