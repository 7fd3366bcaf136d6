package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.request.attempt.AttemptOwner;
import org.bramleyscale.internal.request.attempt.Failures;
import org.bramleyscale.internal.request.attempt.GenerationAttempt;
import org.bramleyscale.internal.request.attempt.ResettableTimer;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One attempt of a generation in flight. Updates the request's record and reports
 * observations of the endpoint to the pool.
 *
 * <p>
 * Invariant: the listener is notified of at most one end, and the pool receives at most
 * one observation. Confined to the scheduler's thread.
 */
final class GenerationRun implements AttemptOwner, RunningAttempt {

	/** How long to wait for the engine to confirm whether a lost attempt had started. */
	private static final Duration CANCEL_RESULT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration OVERDUE_MARGIN = Duration.ofMillis(200);

	private static final Duration OVERDUE_INTERVAL = Duration.ofMillis(500);

	private final GenerationRunner runner;

	private final RequestRecord record;

	private final Assignment assignment;

	private final int promptTokens;

	private final long firstOffset;

	private final long sentAt;

	private final ResettableTimer overdue;

	private GenerationAttempt attempt;

	private long firstTokenAt;

	private long lastTokenAt;

	private boolean streaming;

	private boolean lost;

	private boolean ended;

	GenerationRun(GenerationRunner runner, RequestRecord record, Assignment assignment) {
		this.runner = runner;
		this.record = record;
		this.assignment = assignment;
		this.promptTokens = record.placement().promptTokens();
		this.firstOffset = record.log().next();
		this.sentAt = scheduler().nanos();
		this.overdue = new ResettableTimer(scheduler(), this::onOverdue);
	}

	void start(GenerationAttempt prepared) {
		this.attempt = prepared;
		if (this.assignment.predictedFirstToken() != null) {
			this.overdue.start(this.assignment.predictedFirstToken().multipliedBy(2).plus(OVERDUE_MARGIN));
		}
		prepared.start();
	}

	@Override
	public String peer() {
		return this.assignment.endpoint().name().toString();
	}

	@Override
	public void answerExtended() {
		long now = scheduler().nanos();
		if (!this.streaming) {
			this.streaming = true;
			this.firstTokenAt = now;
			this.overdue.close();
			this.assignment.firstTokenReceived();
		}
		this.lastTokenAt = now;
		long offset = this.record.life().offset();
		int tokens = Math.toIntExact(this.record.log().next() - offset);
		this.record.life().apply(new LifeEvent.Frame(offset, tokens));
		this.record.notifyAnswerExtended();
	}

	@Override
	public void lateFrame() {
		this.runner.metrics().lateFrame();
	}

	@Override
	public void resumed() {
		this.runner.metrics().resumed();
	}

	@Override
	public void completed(EngineUsage usage) {
		end(Math.max(0, usage.promptTokens() - usage.cachedTokens()), false);
		this.runner.listener().completed(this.record, usage, this.firstOffset == 0);
	}

	@Override
	public void lost(ServingException failure) {
		this.lost = true;
		end(this.promptTokens, true);
		if (failure.ran() == Ran.UNKNOWN && !this.record.repeatable()) {
			awaitCancelResult(failure);
			return;
		}
		if (failure.ran() != Ran.NO) {
			cancelAtEngine();
		}
		report(failure);
	}

	@Override
	public void abandon() {
		if (!this.lost) {
			this.attempt.close();
			end(this.promptTokens, firstTokenTimedOut());
			cancelAtEngine();
		}
		this.ended = true;
	}

	private void awaitCancelResult(ServingException failure) {
		// The result of the cancel shows whether the attempt ever started. After "not
		// run" a caller can safely repeat its request; after "unknown" the outcome has to
		// be checked by other means.
		scheduler().schedule(CANCEL_RESULT_TIMEOUT, () -> report(failure));
		this.runner.canceller()
			.cancel(this.assignment.endpoint(), this.record.id(), this.attempt.number(), (result) -> report(
					Failures.withRan(failure, (result == CancelResult.NEVER_STARTED) ? Ran.NO : Ran.YES)));
	}

	private void report(ServingException failure) {
		if (!this.ended) {
			this.ended = true;
			this.runner.listener().attemptLost(this.record, this.assignment.endpoint(), failure);
		}
	}

	private void cancelAtEngine() {
		this.runner.canceller().cancel(this.assignment.endpoint(), this.record.id(), this.attempt.number());
	}

	private void onOverdue() {
		Duration elapsed = Duration.ofNanos(scheduler().nanos() - this.sentAt);
		this.runner.pool()
			.recordOverdue(this.assignment.endpoint().name(), elapsed, this.assignment.predictedFirstToken());
		this.overdue.start(OVERDUE_INTERVAL);
	}

	private boolean firstTokenTimedOut() {
		if (this.streaming || this.assignment.predictedFirstToken() == null) {
			return false;
		}
		long limit = this.assignment.predictedFirstToken().plus(this.runner.limits().silence()).toNanos();
		return scheduler().nanos() - this.sentAt > limit;
	}

	private void end(int computedTokens, boolean failed) {
		this.overdue.close();
		Duration firstToken = (this.streaming) ? Duration.ofNanos(this.firstTokenAt - this.sentAt) : null;
		Duration stream = Duration.ofNanos(this.lastTokenAt - this.firstTokenAt);
		int tokens = Math.toIntExact(this.record.log().next() - this.firstOffset);
		this.runner.pool()
			.recordAttempt(this.assignment.endpoint().name(), new Observation(computedTokens, firstToken,
					this.assignment.predictedFirstToken(), tokens, stream, failed));
	}

	private Scheduler scheduler() {
		return this.runner.scheduler();
	}

}
