package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.request.attempt.AttemptLimits;
import org.bramleyscale.internal.request.attempt.CancelDriver;
import org.bramleyscale.internal.request.attempt.GenerationAttempt;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Starts attempts of generations.
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
		GenerationRun run = new GenerationRun(this, record, place);
		EngineRequest order = order(record, request, place);
		Duration predicted = (place.predictedFirstToken() != null) ? place.predictedFirstToken()
				: this.limits.silence();
		GenerationAttempt attempt = new GenerationAttempt(this.scheduler, this.client, this.limits, place.endpoint(),
				order, predicted, record.log(), run);
		record.running(run);
		record.life().apply(new LifeEvent.Sent());
		run.start(attempt);
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	EndpointPool pool() {
		return this.pool;
	}

	CancelDriver canceller() {
		return this.canceller;
	}

	AttemptLimits limits() {
		return this.limits;
	}

	RequestMetrics metrics() {
		return this.metrics;
	}

	RunListener listener() {
		return this.listener;
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

}
