package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.CrashCause;
import org.bramleyscale.internal.gateway.crash.CrashCauses;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.crash.Verdict;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link SendGate}.
 */
class SendGateTests {

	private static final CrashCauses REQUEST = new CrashCauses(new CrashCause("suspect"), List.of());

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SingleTrialGuard guard = new SingleTrialGuard();

	private String refused = "";

	private int sent;

	private final SendGate gate = new SendGate(this.scheduler, this.guard, REQUEST,
			(reason, retryAfter) -> this.refused = reason);

	/**
	 * Guards against a single trial that reaches several endpoints, each of which refuses
	 * it.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 2", "false, 1" })
	void trialIsRepeatedOnlyIfItReachedNoEndpoint(boolean undelivered, int expectedSends) {
		send();
		this.gate.sent();
		if (undelivered) {
			this.gate.notDelivered();
		}
		send();
		Truth.assertThat(this.sent).isEqualTo(expectedSends);
		Truth.assertThat(this.guard.claims).isEqualTo(1);
		this.scheduler.advance(SendGate.MAX_WAIT.plus(Duration.ofSeconds(1)));
		Truth.assertThat(this.refused.isEmpty()).isEqualTo(undelivered);
	}

	/** Guards against trials that are used up though their request reached nothing. */
	@ParameterizedTest
	@CsvSource({ "true, 1", "false, 0" })
	void trialThatReachedNoEndpointIsReturned(boolean undelivered, int expectedReturns) {
		send();
		this.gate.sent();
		if (undelivered) {
			this.gate.notDelivered();
		}
		this.gate.close();
		this.gate.close();
		Truth.assertThat(this.guard.returned).isEqualTo(expectedReturns);
	}

	/** Guards against a trial that holds all others back after its caller has gone. */
	@ParameterizedTest
	@CsvSource({ "true, false, 1", "true, true, 0", "false, false, 0" })
	void trialWithoutAnOutcomeIsEndedWithItsRequest(boolean sent, boolean endpointFailed, int expectedLost) {
		send();
		if (sent) {
			this.gate.sent();
			Truth.assertThat(this.gate.trialRuns()).isTrue();
		}
		if (endpointFailed) {
			this.gate.endpointFailed(null);
			Truth.assertThat(this.gate.trialRuns()).isFalse();
		}
		this.gate.close();
		this.gate.close();
		Truth.assertThat(this.guard.lost).isEqualTo(expectedLost);
	}

	/** Guards against a retry that waits for its own trial, which an error has ended. */
	@Test
	void trialEndsWithAFailureOfItsEndpoint() {
		send();
		this.gate.sent();
		this.gate.responded(null,
				new BackendHead(500, List.of(), false, false, false, EndpointNotice.NONE, Optional.empty()));
		Truth.assertThat(this.guard.lost).isEqualTo(1);
		this.gate.close();
		Truth.assertThat(this.guard.lost).isEqualTo(1);
	}

	private void send() {
		this.gate.pass(() -> this.sent++);
	}

	/**
	 * Grants a single trial, which has no outcome.
	 */
	private static final class SingleTrialGuard implements CrashGuard {

		private int claims;

		private int returned;

		private int lost;

		@Override
		public Verdict verdict(CrashCauses causes) {
			return (this.claims == 0) ? Verdict.TRIAL : Verdict.WAIT;
		}

		@Override
		public void claimTrial(CrashCauses causes, Consumer<Boolean> granted) {
			this.claims++;
			granted.accept(true);
		}

		@Override
		public void connectionLost(CrashCauses causes, Backend endpoint) {
			// Its outcome isn't of interest.
		}

		@Override
		public void trialFailed(CrashCauses causes, Backend endpoint) {
			// Its outcome isn't of interest.
		}

		@Override
		public void trialLost(CrashCauses causes) {
			this.lost++;
		}

		@Override
		public void trialNotMade(CrashCauses causes) {
			this.returned++;
		}

		@Override
		public void completed(CrashCauses causes) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void survived(CrashCauses causes) {
			// Its outcome isn't of interest.
		}

		@Override
		public void closed(CrashCauses causes, EndpointStart endpoint) {
			// Only responses are recorded here.
		}

		@Override
		public void unreachable(Backend endpoint) {
			// Only responses are recorded here.
		}

		@Override
		public CrashCause refused(CrashCauses causes) {
			return causes.request();
		}

		@Override
		public void answered(EndpointStart endpoint, long sentAt) {
			throw new UnsupportedOperationException();
		}

	}

}
