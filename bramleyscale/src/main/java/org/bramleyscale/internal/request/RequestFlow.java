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
import org.bramleyscale.internal.request.attempt.AttemptLimits;
import org.bramleyscale.internal.request.attempt.CancelDriver;
import org.bramleyscale.internal.request.attempt.Failures;
import org.bramleyscale.internal.request.attempt.RetryBudget;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.request.life.RequestState;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Takes admitted requests from their place to their single end.
 *
 * <p>
 * Invariants: a not-repeatable request that may have reached an endpoint is never sent
 * again; whatever happens, a request ends when its time is up; what is given up ends at
 * once. Confined to the scheduler's thread.
 */
final class RequestFlow implements Starter, RunListener {

	private static final Duration RETRY_PAUSE = Duration.ofSeconds(1);

	private static final Duration GAP_PATIENCE = Duration.ofMillis(100);

	private static final Duration RESUME_PAUSE = Duration.ofMillis(200);

	private static final int RESUMES_WITHOUT_PROGRESS = 2;

	private static final int LONGEST_ANSWER_CHARS = 8 << 20;

	private static final double SAVED_RETRIES = 10;

	private static final long LEAST_TIME_TO_RETRY = Duration.ofMillis(100).toNanos();

	private final Scheduler scheduler;

	private final RequestSettings settings;

	private final RequestMetrics metrics;

	private final RecordStore records;

	private final SpentIds spent;

	private final TokenEstimator estimator;

	private final RetryBudget budget;

	private final Dispatcher dispatcher;

	private final GenerationRunner generations;

	private final CallRunner calls;

	private final CancelDriver canceller;

	RequestFlow(RequestPorts ports, RequestSettings settings, RequestMetrics metrics, RecordStore records,
			SpentIds spent) {
		this.scheduler = ports.scheduler();
		this.settings = settings;
		this.metrics = metrics;
		this.records = records;
		this.spent = spent;
		this.estimator = ports.estimator();
		this.budget = new RetryBudget(this.scheduler, settings.retryShare(), settings.retriesPerSecond(),
				SAVED_RETRIES);
		this.dispatcher = new Dispatcher(ports, records, this);
		this.canceller = new CancelDriver(this.scheduler, ports.client(),
				(endpoint) -> ports.configuration().current().endpoint(endpoint), metrics);
		AttemptLimits limits = new AttemptLimits(settings.streamSilence(), GAP_PATIENCE, RESUME_PAUSE,
				RESUMES_WITHOUT_PROGRESS, LONGEST_ANSWER_CHARS);
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
			// The retry rules don't let it come to this. Should a change break them, the
			// booking fails here instead of being made twice.
			fail(record, ErrorCode.INTERNAL, Step.START, "self", "a not-repeatable request would be sent twice");
			return;
		}
		if (!record.dispatched()) {
			record.markDispatched();
			this.budget.firstAttempt();
		}
		Place place = record.placement().place().orElseThrow();
		if (record.work() instanceof Work.Generation generation) {
			this.generations.start(record, generation.request(), place);
		}
		else if (record.work() instanceof Work.Call call) {
			this.calls.start(record, call.request(), place);
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
	 * Ends a request whose time is up.
	 * @param record the request
	 */
	void expired(RequestRecord record) {
		String peer = record.running().map(RunningAttempt::peer).orElse("self");
		fail(record, ErrorCode.DEADLINE_EXCEEDED, step(record), peer, "the request's time ran out");
	}

	/**
	 * Ends a request at its caller's wish, unless it is a call that can't be taken back.
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
	 * Ends a request that nobody has read for a while.
	 * @param record the request
	 */
	void abandoned(RequestRecord record) {
		if (record.unread()) {
			String peer = record.running().map(RunningAttempt::peer).orElse("self");
			fail(record, ErrorCode.CANCELLED, Step.CANCEL, peer, "nobody read the answer any more");
		}
	}

	private boolean mayRetry(RequestRecord record, ServingException failure) {
		boolean never = record.life().ran() == Ran.NO && failure.step() == Step.CONNECT;
		if (!record.repeatable() && !never) {
			return false;
		}
		boolean timeLeft = record.deadline() - this.scheduler.nanos() > LEAST_TIME_TO_RETRY;
		boolean attemptsLeft = record.attempts() < this.settings.maxAttempts();
		return timeLeft && attemptsLeft && !Failures.definitive(failure.code()) && this.budget.take();
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
		Duration retryAfter = (retryHelps) ? cause.retryAfter().orElse(RETRY_PAUSE) : null;
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
		this.spent.ended(record.id(), record.life().settledRan());
		this.metrics.ended(record.life().outcome().orElseThrow(), record.life().settledRan());
		return true;
	}

	private void close(RequestRecord record) {
		this.records.ended(record);
		record.tellEnd();
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
