package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.request.attempt.AttemptCanceller;
import org.bramleyscale.internal.request.attempt.AttemptLimits;
import org.bramleyscale.internal.request.attempt.GenerationAttempt;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Starts attempts of generations and holds the collaborators that they share.
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

	private final AttemptCanceller canceller;

	private final AttemptLimits limits;

	private final RequestMetrics metrics;

	private final AttemptListener listener;

	GenerationRunner(Scheduler scheduler, EngineClient client, EndpointPool pool, AttemptCanceller canceller,
			AttemptLimits limits, RequestMetrics metrics, AttemptListener listener) {
		this.scheduler = scheduler;
		this.client = client;
		this.pool = pool;
		this.canceller = canceller;
		this.limits = limits;
		this.metrics = metrics;
		this.listener = listener;
	}

	void start(RequestRecord record, GenerateRequest request, Assignment assignment) {
		GenerationRun run = new GenerationRun(this, record, assignment);
		EngineRequest engineRequest = engineRequest(record, request, assignment);
		Duration predicted = (assignment.predictedFirstToken() != null) ? assignment.predictedFirstToken()
				: this.limits.silence();
		GenerationAttempt attempt = new GenerationAttempt(this.scheduler, this.client, this.limits,
				assignment.endpoint(), engineRequest, predicted, record.log(), run);
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

	AttemptCanceller canceller() {
		return this.canceller;
	}

	AttemptLimits limits() {
		return this.limits;
	}

	RequestMetrics metrics() {
		return this.metrics;
	}

	AttemptListener listener() {
		return this.listener;
	}

	private EngineRequest engineRequest(RequestRecord record, GenerateRequest request, Assignment assignment) {
		Duration timeLeft = Duration.ofNanos(record.deadline() - this.scheduler.nanos());
		return new EngineRequest(record.id(), record.nextAttempt(), request.model(), request.prompt(),
				record.log().text(), record.log().next(), request.maxTokens(), priority(record.placement()), timeLeft,
				assignment.holds());
	}

	private static int priority(Placement placement) {
		if (placement.urgent()) {
			return URGENT_PRIORITY;
		}
		return (placement.promptTokens() <= SHORT_PROMPT_TOKENS) ? SHORT_PRIORITY : 0;
	}

}
