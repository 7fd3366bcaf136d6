package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link CrashRegistry}.
 */
class CrashRegistryTests {

	private static final RequestDigest CRASHING = new RequestDigest("deadly");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final CrashRegistry registry = new CrashRegistry(this.scheduler);

	/** Guards against unbounded memory use when callers send ever new requests. */
	@Test
	void evictsRequestsWithFewestCrashesWhenFull() {
		for (int i = 0; i < CrashRegistry.TRIAL_THRESHOLD; i++) {
			this.registry.crashed(CRASHING, endpoint(i));
		}
		for (int i = 0; i < 3 * CrashRegistry.MAX_SUSPECTS; i++) {
			this.registry.crashed(new RequestDigest("made up " + i), endpoint(0));
		}
		Truth.assertThat(this.registry.suspectCount()).isEqualTo(CrashRegistry.MAX_SUSPECTS);
		Truth.assertThat(this.registry.verdict(CRASHING, 0)).isEqualTo(Verdict.TRIAL);
	}

	/** Guards against a crash that daemons repeat to each other forever. */
	@Test
	void stopsRepeatingACrashButRemembersIt() {
		this.registry.crashed(CRASHING, endpoint(1));
		Truth.assertThat(this.registry.crashesToRepeat(20)).hasSize(1);
		this.scheduler.advance(CrashRegistry.REPEAT_PERIOD.plus(Duration.ofSeconds(1)));
		Truth.assertThat(this.registry.crashesToRepeat(20)).isEmpty();
		Truth.assertThat(this.registry.verdict(CRASHING, 0)).isEqualTo(Verdict.SUSPECT);
	}

	@Test
	void countsAnEndpointOnce() {
		Truth.assertThat(this.registry.crashed(CRASHING, endpoint(1))).isTrue();
		Truth.assertThat(this.registry.crashed(CRASHING, endpoint(1))).isFalse();
		Truth.assertThat(this.registry.crashes(CRASHING)).isEqualTo(1);
	}

	@Test
	void retractedCrashIsNotCounted() {
		this.registry.crashed(CRASHING, endpoint(1));
		Truth.assertThat(this.registry.retractCrashes(endpoint(1))).isTrue();
		Truth.assertThat(this.registry.verdict(CRASHING, 0)).isEqualTo(Verdict.CLEAR);
	}

	private static EndpointStart endpoint(int number) {
		return EndpointStart.withUnknownStart("e" + number);
	}

}
