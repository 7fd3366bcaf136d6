package org.bramleyscale.internal.address;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

class LeavePlanTests {

	private static final ClientAccountId ACCOUNT = new ClientAccountId("quarry-1");

	private static final LeaveTimes TIMES = new LeaveTimes(Duration.ofSeconds(10), Duration.ofSeconds(3),
			Duration.ofSeconds(2), Duration.ofMinutes(1));

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Recorder recorder = new Recorder();

	private final LeavePlan plan = new LeavePlan(this.scheduler, this.recorder,
			(account) -> new AddressAnswer(List.of(new AddressAnswer.Entry("10.0.0.2:80", "entry-2~1", "rawang")),
					Duration.ofSeconds(10)),
			TIMES);

	/**
	 * Guards against refusals of requests during a planned stop. The failure occurs if a
	 * daemon refuses requests before the last cached answer with its address has expired.
	 */
	@Test
	void acceptsRequestsUntilCachedAddressesHaveExpired() {
		this.plan.begin();
		Truth.assertThat(this.recorder.steps).containsExactly("announce");
		this.scheduler.advance(Duration.ofMillis(12_999));
		Truth.assertThat(this.plan.refusal(ACCOUNT)).isEmpty();
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.recorder.steps).containsExactly("announce", "refuse").inOrder();
		ServingException refusal = this.plan.refusal(ACCOUNT).orElseThrow();
		Truth.assertThat(refusal.code()).isEqualTo(ErrorCode.LEAVING);
		Truth.assertThat(refusal.ran()).isEqualTo(Ran.NO);
		Truth.assertThat(refusal).hasMessageThat().contains("10.0.0.2:80");
	}

	/**
	 * Guards against a planned stop that interrupts a stream. The failure occurs if the
	 * daemon shuts down after a fixed time instead of after the last request.
	 */
	@Test
	void endsAfterTheLastRequestAndTheLingerTime() {
		this.recorder.unfinished = 1;
		this.plan.begin();
		this.scheduler.advance(Duration.ofSeconds(40));
		Truth.assertThat(this.plan.phase()).isEqualTo(LeavePlan.Phase.REFUSING);
		this.recorder.unfinished = 0;
		this.scheduler.advance(Duration.ofSeconds(1));
		this.recorder.unfinished = 1;
		this.scheduler.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.plan.phase()).isEqualTo(LeavePlan.Phase.REFUSING);
		this.recorder.unfinished = 0;
		this.scheduler.advance(Duration.ofMillis(2_200));
		Truth.assertThat(this.recorder.steps).containsExactly("announce", "refuse", "end true").inOrder();
	}

	@Test
	void endsAtTheLimitWithRequestsUnfinished() {
		this.recorder.unfinished = 1;
		this.plan.begin();
		this.scheduler.advance(Duration.ofSeconds(61));
		Truth.assertThat(this.recorder.steps).containsExactly("announce", "refuse", "end false").inOrder();
	}

	@Test
	void secondBeginHasNoEffect() {
		this.plan.begin();
		this.scheduler.advance(Duration.ofSeconds(14));
		this.plan.begin();
		this.scheduler.advance(Duration.ofMinutes(5));
		Truth.assertThat(this.recorder.steps).containsExactly("announce", "refuse", "end true").inOrder();
	}

	@Test
	void aServingDaemonRefusesNothing() {
		this.scheduler.advance(Duration.ofHours(1));
		Truth.assertThat(this.plan.refusal(ACCOUNT)).isEmpty();
		Truth.assertThat(this.recorder.steps).isEmpty();
	}

	private static final class Recorder implements LeaveActions {

		private final List<String> steps = new ArrayList<>();

		private int unfinished;

		@Override
		public void announce() {
			this.steps.add("announce");
		}

		@Override
		public void refuseNew() {
			this.steps.add("refuse");
		}

		@Override
		public int unfinished() {
			return this.unfinished;
		}

		@Override
		public void end(boolean complete) {
			this.steps.add("end " + complete);
		}

	}

}
