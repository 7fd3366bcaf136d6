package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link CrashMoments}.
 */
class CrashMomentsTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final CrashMoments moments = new CrashMoments(this.scheduler);

	/** Guards against a loss that counts because most of its endpoints ran nothing. */
	@ParameterizedTest
	@CsvSource({ "1, 0, 1", "3, 0, 2", "1, 2, 1", "1, 3, 0", "3, 4, 0", "3, 3, 2", "12, 2, 2" })
	void lossThatHitMoreOthersDoesNotCount(int crashed, int idle, int expected) {
		IntStream.range(0, crashed).forEach((i) -> this.moments.crashed(endpoint(i), 0));
		IntStream.range(crashed, crashed + idle).forEach((i) -> this.moments.lost(endpoint(i), 0));
		Truth.assertThat(this.moments.count(endpoints(crashed))).isEqualTo(expected);
	}

	/**
	 * Guards against a loss that counts again each time one of its crashes is noticed.
	 */
	@Test
	void crashNoticedLateIsOfTheMomentOfItsLoss() {
		IntStream.range(0, 8).forEach((i) -> this.moments.lost(endpoint(i), 0));
		this.scheduler.advance(Duration.ofMillis(2_700));
		IntStream.range(0, 3).forEach((i) -> this.moments.crashed(endpoint(i), this.scheduler.nanos()));
		Truth.assertThat(this.moments.count(endpoints(3))).isEqualTo(0);
	}

	/** Guards against a crash that is dated by a loss that never was. */
	@ParameterizedTest
	@CsvSource({ "true, 100", "false, 10000" })
	void mistakenLossDatesNoLaterCrash(boolean answered, long millis) {
		IntStream.range(0, 8).forEach((i) -> this.moments.lost(endpoint(i), 0));
		this.scheduler.advance(Duration.ofMillis(millis));
		if (answered) {
			this.moments.answered(endpoint(0), 1);
		}
		this.moments.crashed(endpoint(0), this.scheduler.nanos());
		Truth.assertThat(this.moments.count(endpoints(1))).isEqualTo(1);
	}

	/** Guards against a crash that is dated anew whenever a peer repeats it. */
	@Test
	void repeatedReportDoesNotDateACrashAnew() {
		this.moments.crashed(endpoint(0), 0);
		this.scheduler.advance(Duration.ofSeconds(20));
		this.moments.crashed(endpoint(0), this.scheduler.nanos());
		Truth.assertThat(this.moments.lost(endpoint(0), this.scheduler.nanos())).isFalse();
		Truth.assertThat(this.moments.age(endpoint(0))).isEqualTo(Duration.ofSeconds(20));
	}

	private static List<EndpointStart> endpoints(int count) {
		return IntStream.range(0, count).mapToObj(CrashMomentsTests::endpoint).toList();
	}

	private static EndpointStart endpoint(int number) {
		return EndpointStart.withUnknownStart("e" + number);
	}

}
