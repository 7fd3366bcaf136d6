package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.admission.TokenEstimator;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.attempt.AttemptCanceller;
import org.bramleyscale.internal.request.attempt.AttemptLimits;
import org.bramleyscale.internal.request.attempt.Failures;
import org.bramleyscale.internal.request.attempt.RetryBudget;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.request.life.RequestState;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Controls admitted requests from their assignment to an endpoint until they end.
 *
 * <p>
 * Invariants: a not-repeatable request that may have reached an endpoint is neverStarted
 * sent again; every request ends at its deadline at the latest; a request that is not
 * retried after a failure ends immediately. Confined to the scheduler's thread.
 */
final class RequestFlow implements DispatchListener, AttemptListener {

	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration GAP_TIMEOUT = Duration.ofMillis(100);

	private static final Duration RESUME_DELAY = Duration.ofMillis(200);

	private static final int MAX_RESUMES_WITHOUT_PROGRESS = 2;

	private static final int MAX_ANSWER_CHARS = 8 << 20;

	private static final double RETRY_BURST = 10;

	private static final long MIN_RETRY_TIME_NANOS = Duration.ofMillis(100).toNanos();

	private final Scheduler scheduler;

	private final RequestSettings settings;

	private final RequestMetrics metrics;

	private final RecordStore records;

	private final UsedIds usedIds;

	private final TokenEstimator estimator;

	private final RetryBudget budget;

	private final Dispatcher dispatcher;

	private final GenerationRunner generations;

	private final CallRunner calls;

	private final AttemptCanceller canceller;

	RequestFlow(RequestPorts ports, RequestSettings settings, RequestMetrics metrics, RecordStore records,
			UsedIds usedIds) {
		this.scheduler = ports.scheduler();
		this.settings = settings;
		this.metrics = metrics;
		this.records = records;
		this.usedIds = usedIds;
		this.estimator = ports.estimator();
		this.budget = new RetryBudget(this.scheduler, settings.retryRatio(), settings.retriesPerSecond(), RETRY_BURST);
		this.dispatcher = new Dispatcher(ports, records, this);
		this.canceller = new AttemptCanceller(this.scheduler, ports.client(),
				(endpoint) -> ports.configuration().current().endpoint(endpoint), metrics);
		AttemptLimits limits = new AttemptLimits(settings.streamSilence(), GAP_TIMEOUT, RESUME_DELAY,
				MAX_RESUMES_WITHOUT_PROGRESS, MAX_ANSWER_CHARS);
		this.generations = new GenerationRunner(this.scheduler, ports.client(), ports.pool(), this.canceller, limits,
				metrics, this);
		this.calls = new CallRunner(this.scheduler, ports.client(), ports.pool(), this);
	}

	Dispatcher dispatcher() {
		return this.dispatcher;
	}

	int unconfirmedCancels() {
		return this.canceller.unconfirmed();
	}

	@Override
	public void start(RequestRecord record) {
		if (!record.repeatable() && record.life().ran() != Ran.NO) {
			// The retry rules rule this out. If a change breaks them, the request fails
			// here instead of running twice.
			fail(record, ErrorCode.INTERNAL, Step.START, "self", "a not-repeatable request would be sent twice");
			return;
		}
		if (!record.dispatched()) {
			record.markDispatched();
			this.budget.firstAttempt();
		}
		Assignment assignment = record.placement().assignment().orElseThrow();
		if (record.work() instanceof Work.Generation generation) {
			this.generations.start(record, generation.request(), assignment);
		}
		else if (record.work() instanceof Work.Call call) {
			this.calls.start(record, call.request(), assignment);
		}
	}

	@Override
	public void noEndpoint(RequestRecord record) {
		fail(record, ErrorCode.NO_ENDPOINT, Step.ROUTE, "self",
				"no other endpoint of service '" + record.service() + "' can be used now");
	}

	@Override
	public void reservationFailed(RequestRecord record, ServingException failure) {
		fail(record, failure);
	}

	@Override
	public void completed(RequestRecord record, EngineUsage usage, boolean fromStart) {
		if (fromStart && record.work() instanceof Work.Generation generation) {
			GenerateRequest request = generation.request();
			this.estimator.learn(request.model(), request.prompt(), usage.promptTokens());
		}
		long tokens = (long) usage.promptTokens() + usage.answerTokens();
		if (end(record, new LifeEvent.Completed(), tokens)) {
			record.endCompleted(usage);
			close(record);
		}
	}

	@Override
	public void replied(RequestRecord record, ServiceReply reply) {
		if (end(record, new LifeEvent.Completed(), 0)) {
			record.endReplied(reply);
			close(record);
		}
	}

	@Override
	public void attemptLost(RequestRecord record, EndpointEntry endpoint, ServingException failure) {
		record.running(null);
		record.life().apply(new LifeEvent.AttemptLost(failure.ran()));
		this.dispatcher.release(record);
		record.placement().exclude(endpoint.name());
		if (!mayRetry(record, failure)) {
			fail(record, failure);
			return;
		}
		this.metrics.retried();
		if (record.life().offset() > 0) {
			this.metrics.continued();
		}
		this.dispatcher.retry(record);
	}

	/**
	 * Ends a request whose deadline has passed.
	 * @param record the request
	 */
	void expired(RequestRecord record) {
		String peer = record.running().map(RunningAttempt::peer).orElse("self");
		fail(record, ErrorCode.DEADLINE_EXCEEDED, step(record), peer, "the request's deadline passed");
	}

	/**
	 * Ends a request that its caller cancelled, unless it is a not-repeatable call that
	 * is already sent.
	 * @param record the request
	 */
	void cancelled(RequestRecord record) {
		boolean sentCall = record.log() == null && record.running().isPresent();
		if (sentCall && !record.repeatable()) {
			return;
		}
		String peer = record.running().map(RunningAttempt::peer).orElse("self");
		fail(record, ErrorCode.CANCELLED, Step.CANCEL, peer, "the caller cancelled the request");
	}

	/**
	 * Ends a request that still has no readers after the grace period.
	 * @param record the request
	 */
	void abandoned(RequestRecord record) {
		if (record.hasNoReaders()) {
			String peer = record.running().map(RunningAttempt::peer).orElse("self");
			fail(record, ErrorCode.CANCELLED, Step.CANCEL, peer, "the request had no reader for the grace period");
		}
	}

	private boolean mayRetry(RequestRecord record, ServingException failure) {
		boolean neverStarted = record.life().ran() == Ran.NO && failure.step() == Step.CONNECT;
		if (!record.repeatable() && !neverStarted) {
			return false;
		}
		boolean timeLeft = record.deadline() - this.scheduler.nanos() > MIN_RETRY_TIME_NANOS;
		boolean attemptsLeft = record.attempts() < this.settings.maxAttempts();
		return timeLeft && attemptsLeft && !Failures.definitive(failure.code()) && this.budget.tryAcquire();
	}

	private void fail(RequestRecord record, ErrorCode code, Step step, String peer, String message) {
		fail(record, new ServingException(code, record.life().ran(), step, peer, message));
	}

	private void fail(RequestRecord record, ServingException cause) {
		Ran ran = record.life().ran();
		long used = (ran != Ran.NO) ? record.placement().promptTokens() + record.life().offset() : 0;
		if (!end(record, new LifeEvent.Failed(), used)) {
			return;
		}
		boolean retryHelps = (ran == Ran.NO || record.repeatable()) && !Failures.definitive(cause.code())
				&& cause.code() != ErrorCode.CANCELLED;
		Duration retryAfter = (retryHelps) ? cause.retryAfter().orElse(DEFAULT_RETRY_AFTER) : null;
		record.endFailed(
				new ServingException(cause.code(), ran, cause.step(), cause.peer(), cause.getMessage(), retryAfter));
		close(record);
	}

	private boolean end(RequestRecord record, LifeEvent event, long tokens) {
		boolean completing = event instanceof LifeEvent.Completed;
		if (!record.life().apply(event)) {
			return false;
		}
		if (!completing) {
			record.running().ifPresent(RunningAttempt::abandon);
		}
		this.dispatcher.ended(record, !record.dispatched(), tokens);
		this.usedIds.ended(record.id(), record.life().settledRan());
		this.metrics.ended(record.life().outcome().orElseThrow(), record.life().settledRan());
		return true;
	}

	private void close(RequestRecord record) {
		this.records.ended(record);
		record.notifyEnd();
	}

	private static Step step(RequestRecord record) {
		RequestState state = record.life().state();
		return switch (state) {
			case STREAMING -> Step.STREAM;
			case STARTED -> Step.START;
			default -> (record.placement().reserving()) ? Step.RESERVE : Step.QUEUE;
		};
	}

}
