package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.attempt.Failures;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.time.Clock;

/**
 * Runs calls to plain services; each attempt is a single call.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class CallRunner {

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final Clock clock;

	private final EngineClient client;

	private final EndpointPool pool;

	private final AttemptListener listener;

	CallRunner(Clock clock, EngineClient client, EndpointPool pool, AttemptListener listener) {
		this.clock = clock;
		this.client = client;
		this.pool = pool;
		this.listener = listener;
	}

	void start(RequestRecord record, PlainRequest request, Assignment assignment) {
		Run run = new Run(record, assignment);
		Duration timeLeft = Duration.ofNanos(record.deadline() - this.clock.nanos());
		ServiceCall call = new ServiceCall(record.id(), request.method(), request.path(), request.headers(),
				request.body(), timeLeft);
		record.nextAttempt();
		record.running(run);
		record.life().apply(new LifeEvent.Sent());
		this.client.call(assignment.endpoint(), call).whenComplete(run::ended);
	}

	/**
	 * One call in flight.
	 */
	private final class Run implements RunningAttempt {

		private final RequestRecord record;

		private final Assignment assignment;

		private final long sentAt;

		private boolean abandoned;

		private Run(RequestRecord record, Assignment assignment) {
			this.record = record;
			this.assignment = assignment;
			this.sentAt = CallRunner.this.clock.nanos();
		}

		@Override
		public String peer() {
			return this.assignment.endpoint().name().toString();
		}

		@Override
		public void abandon() {
			this.abandoned = true;
			observe(null, overdue());
		}

		private boolean overdue() {
			long now = CallRunner.this.clock.nanos();
			long total = this.record.deadline() - this.record.receivedAt();
			return now - this.record.deadline() >= 0 && 2 * (now - this.sentAt) >= total;
		}

		private void ended(ServiceReply reply, Throwable thrown) {
			if (this.abandoned) {
				return;
			}
			if (thrown != null) {
				ServingException failure = Failures.of(thrown, Step.START, peer());
				observe(null, true);
				CallRunner.this.listener.attemptLost(this.record, this.assignment.endpoint(), failure);
				return;
			}
			boolean failed = reply.status() >= BAD_GATEWAY && reply.status() <= GATEWAY_TIMEOUT;
			observe(Duration.ofNanos(CallRunner.this.clock.nanos() - this.sentAt), failed);
			CallRunner.this.listener.replied(this.record, reply);
		}

		private void observe(Duration took, boolean failed) {
			CallRunner.this.pool.recordAttempt(this.assignment.endpoint().name(),
					new Observation(0, took, this.assignment.predictedFirstToken(), 0, Duration.ZERO, failed));
		}

	}

}
