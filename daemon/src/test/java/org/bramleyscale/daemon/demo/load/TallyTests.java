package org.bramleyscale.daemon.demo.load;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests for {@link Tally}.
 */
class TallyTests {

	private final Tally tally = new Tally();

	@ParameterizedTest
	@CsvSource({ "COMPLETED, 1, 0, 0, 0, 0", "COMPLETED, 0, 0, 0, 1, 0", "COMPLETED, 1, 1, 1, 0, 0",
			"COMPLETED, 2, 0, 1, 0, 0", "REFUSED_NOT_RUN, 0, 0, 0, 0, 0", "REFUSED_NOT_RUN, 1, 0, 0, 0, 1",
			"UNKNOWN, 0, 0, 0, 0, 0", "UNKNOWN, 1, 0, 0, 0, 0", "UNKNOWN, 1, 1, 1, 0, 0", "FAILED, 1, 0, 0, 0, 0" })
	void bookingsAreComparedWithWhatTheServiceRan(Outcome outcome, int runsOfFirstId, int runsOfSecondId, int doubled,
			int lost, int refusedButRan) {
		this.tally.add(booking(outcome));
		Tally.BookingAudit audit = this.tally.audit(Map.of("e~a~1.0", runsOfFirstId, "e~b~1.1", runsOfSecondId));
		Truth.assertThat(audit).isEqualTo(new Tally.BookingAudit(1, doubled, lost, refusedButRan));
	}

	@Test
	void firstTokensAreReportedByPromptLength() {
		for (int millis = 1; millis <= 100; millis++) {
			this.tally.add(generation(1000, millis));
		}
		this.tally.add(generation(500_000, 4000));
		Map<String, Tally.Percentiles> percentiles = this.tally.firstTokenMillis();
		Truth.assertThat(percentiles.keySet()).containsExactly("upTo2k", "longer").inOrder();
		Truth.assertThat(percentiles.get("upTo2k").count()).isEqualTo(100);
		Truth.assertThat(percentiles.get("upTo2k").p50()).isWithin(0.1).of(50);
		Truth.assertThat(percentiles.get("upTo2k").p99()).isWithin(0.1).of(99);
		Truth.assertThat(this.tally.count(Outcome.COMPLETED)).isEqualTo(101);
	}

	private static RequestResult booking(Outcome outcome) {
		PlannedRequest request = new PlannedRequest(1, Workload.BOOKING, "{}", 0);
		return new RequestResult(request, outcome, true, OptionalLong.empty(), List.of("e~a~1.0", "e~b~1.1"), "");
	}

	private static RequestResult generation(int tokens, long firstTokenMillis) {
		PlannedRequest request = new PlannedRequest(2, Workload.QUOTE, "prompt", tokens);
		return new RequestResult(request, Outcome.COMPLETED, true, OptionalLong.of(firstTokenMillis * 1_000_000),
				List.of("e~a~2.0"), "");
	}

}
