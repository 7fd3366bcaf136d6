package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link RecentRequests}.
 */
class RecentRequestsTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final RecentRequests requests = new RecentRequests(this.scheduler);

	/** Guards against trials that are used up for several suspects at once. */
	@ParameterizedTest
	@CsvSource({ "a, a b, 600, false", "a b, a, 600, true", "a b, a, 400, true", "a b, c, 400, true",
			"a b, c, 600, false", "a b, b c, 600, false", "a b, a, 6000, false" })
	void requestGivesWayToThoseWithFewerSuspects(String suspects, String others, long laterMillis, boolean expected) {
		CrashCauses request = causes("one", suspects);
		this.requests.judged(causes("other", others));
		this.requests.judged(request);
		this.scheduler.advance(Duration.ofMillis(laterMillis));
		Truth.assertThat(this.requests.givesWay(request, request.parts(), CrashCauses::parts)).isEqualTo(expected);
	}

	private static CrashCauses causes(String id, String parts) {
		List<CrashCause> all = Stream.of(parts.split(" ")).map(CrashCause::part).toList();
		return new CrashCauses(new CrashCause(id), all);
	}

}
