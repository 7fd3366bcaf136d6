package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.request.attempt.AttemptLimits;
import org.bramleyscale.internal.request.attempt.AttemptOwner;
import org.bramleyscale.internal.request.attempt.CancelDriver;
import org.bramleyscale.internal.request.attempt.GenerationAttempt;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Runs attempts of generations and reports what was seen of the endpoint.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class GenerationRunner {

	private static final int URGENT_PRIORITY = 2;

	private static final int SHORT_PRIORITY = 1;

	private static final int SHORT_PROMPT_TOKENS = 4096;

	private final Scheduler scheduler;

	private final EngineClient client;

	private final EndpointPool pool;

	private final CancelDriver canceller;

	private final AttemptLimits limits;

	private final RequestMetrics metrics;

	private final RunListener listener;

	GenerationRunner(Scheduler scheduler, EngineClient client, EndpointPool pool, CancelDriver canceller,
			AttemptLimits limits, RequestMetrics metrics, RunListener listener) {
		this.scheduler = scheduler;
		this.client = client;
		this.pool = pool;
		this.canceller = canceller;
		this.limits = limits;
		this.metrics = metrics;
		this.listener = listener;
	}

	void start(RequestRecord record, GenerateRequest request, Place place) {
		Run run = new Run(record, place);
		EngineRequest order = order(record, request, place);
		Duration predicted = (place.predictedFirstToken() != null) ? place.predictedFirstToken()
				: this.limits.silence();
		run.attempt = new GenerationAttempt(this.scheduler, this.client, this.limits, place.endpoint(), order,
				predicted, record.log(), run);
		record.running(run);
		record.life().apply(new LifeEvent.Sent());
		run.attempt.start();
	}

	private EngineRequest order(RequestRecord record, GenerateRequest request, Place place) {
		Duration timeLeft = Duration.ofNanos(record.deadline() - this.scheduler.nanos());
		return new EngineRequest(record.id(), record.nextAttempt(), request.model(), request.prompt(),
				record.log().text(), record.log().next(), request.maxTokens(), priority(record.placement()), timeLeft,
				place.holds());
	}

	private static int priority(Placement placement) {
		if (placement.urgent()) {
			return URGENT_PRIORITY;
		}
		return (placement.promptTokens() <= SHORT_PROMPT_TOKENS) ? SHORT_PRIORITY : 0;
	}

	/**
	 * One attempt in flight.
	 */
	private final class Run implements AttemptOwner, RunningAttempt {

		private final RequestRecord record;

		private final Place place;

		private final int promptTokens;

		private final long firstOffset;

		private final long sentAt;

		private GenerationAttempt attempt;

		private long firstTokenAt;

		private long lastTokenAt;

		private boolean streaming;

		private Run(RequestRecord record, Place place) {
			this.record = record;
			this.place = place;
			this.promptTokens = record.placement().promptTokens();
			this.firstOffset = record.log().next();
			this.sentAt = GenerationRunner.this.scheduler.nanos();
		}

		@Override
		public String peer() {
			return this.place.endpoint().name().toString();
		}

		@Override
		public void grew() {
			long now = GenerationRunner.this.scheduler.nanos();
			if (!this.streaming) {
				this.streaming = true;
				this.firstTokenAt = now;
				this.place.firstToken();
			}
			this.lastTokenAt = now;
			long offset = this.record.life().offset();
			int tokens = Math.toIntExact(this.record.log().next() - offset);
			this.record.life().apply(new LifeEvent.Frame(offset, tokens));
			this.record.grew();
		}

		@Override
		public void lateFrame() {
			GenerationRunner.this.metrics.lateFrame();
		}

		@Override
		public void resumed() {
			GenerationRunner.this.metrics.resumed();
		}

		@Override
		public void completed(EngineUsage usage) {
			observe(Math.max(0, usage.promptTokens() - usage.cachedTokens()), false);
			GenerationRunner.this.listener.completed(this.record, usage, this.firstOffset == 0);
		}

		@Override
		public void lost(ServingException failure) {
			observe(this.promptTokens, true);
			if (failure.ran() != Ran.NO) {
				cancelAtEngine();
			}
			GenerationRunner.this.listener.attemptLost(this.record, this.place.endpoint(), failure);
		}

		@Override
		public void abandon() {
			this.attempt.close();
			observe(this.promptTokens, overdue());
			cancelAtEngine();
		}

		private void cancelAtEngine() {
			GenerationRunner.this.canceller.cancel(this.place.endpoint(), this.record.id(), this.attempt.number());
		}

		private boolean overdue() {
			if (this.streaming || this.place.predictedFirstToken() == null) {
				return false;
			}
			long patience = this.place.predictedFirstToken().plus(GenerationRunner.this.limits.silence()).toNanos();
			return GenerationRunner.this.scheduler.nanos() - this.sentAt > patience;
		}

		private void observe(int computedTokens, boolean failed) {
			Duration firstToken = (this.streaming) ? Duration.ofNanos(this.firstTokenAt - this.sentAt) : null;
			Duration stream = Duration.ofNanos(this.lastTokenAt - this.firstTokenAt);
			int tokens = Math.toIntExact(this.record.log().next() - this.firstOffset);
			GenerationRunner.this.pool.observed(this.place.endpoint().name(), new Observation(computedTokens,
					firstToken, this.place.predictedFirstToken(), tokens, stream, failed));
		}

	}

}
