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
 * One attempt of a generation in flight: joins its record, its place and what is learnt
 * of the endpoint.
 *
 * <p>
 * Invariant: the listener hears of one end at most, the pool of one observation. Confined
 * to the scheduler's thread.
 */
final class GenerationRun implements AttemptOwner, RunningAttempt {

	/** How long an engine is asked whether a lost attempt had begun. */
	private static final Duration SETTLE = Duration.ofSeconds(1);

	private static final Duration OVERDUE_NOISE = Duration.ofMillis(200);

	private static final Duration OVERDUE_AGAIN = Duration.ofMillis(500);

	private final GenerationRunner runner;

	private final RequestRecord record;

	private final Place place;

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

	GenerationRun(GenerationRunner runner, RequestRecord record, Place place) {
		this.runner = runner;
		this.record = record;
		this.place = place;
		this.promptTokens = record.placement().promptTokens();
		this.firstOffset = record.log().next();
		this.sentAt = scheduler().nanos();
		this.overdue = new ResettableTimer(scheduler(), this::onOverdue);
	}

	void start(GenerationAttempt prepared) {
		this.attempt = prepared;
		if (this.place.predictedFirstToken() != null) {
			this.overdue.start(this.place.predictedFirstToken().multipliedBy(2).plus(OVERDUE_NOISE));
		}
		prepared.start();
	}

	@Override
	public String peer() {
		return this.place.endpoint().name().toString();
	}

	@Override
	public void grew() {
		long now = scheduler().nanos();
		if (!this.streaming) {
			this.streaming = true;
			this.firstTokenAt = now;
			this.overdue.close();
			this.place.firstTokenReceived();
		}
		this.lastTokenAt = now;
		long offset = this.record.life().offset();
		int tokens = Math.toIntExact(this.record.log().next() - offset);
		this.record.life().apply(new LifeEvent.Frame(offset, tokens));
		this.record.grew();
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
			settle(failure);
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
			end(this.promptTokens, late());
			cancelAtEngine();
		}
		this.ended = true;
	}

	private void settle(ServingException failure) {
		// The cancel's answer tells whether the attempt ever began. A caller that is told
		// "not run" can book again; one that is told "unknown" has to ask somebody.
		scheduler().schedule(SETTLE, () -> report(failure));
		this.runner.canceller()
			.cancel(this.place.endpoint(), this.record.id(), this.attempt.number(), (result) -> report(
					Failures.withRan(failure, (result == CancelResult.NEVER_STARTED) ? Ran.NO : Ran.YES)));
	}

	private void report(ServingException failure) {
		if (!this.ended) {
			this.ended = true;
			this.runner.listener().attemptLost(this.record, this.place.endpoint(), failure);
		}
	}

	private void cancelAtEngine() {
		this.runner.canceller().cancel(this.place.endpoint(), this.record.id(), this.attempt.number());
	}

	private void onOverdue() {
		Duration waited = Duration.ofNanos(scheduler().nanos() - this.sentAt);
		this.runner.pool().recordOverdue(this.place.endpoint().name(), waited, this.place.predictedFirstToken());
		this.overdue.start(OVERDUE_AGAIN);
	}

	private boolean late() {
		if (this.streaming || this.place.predictedFirstToken() == null) {
			return false;
		}
		long patience = this.place.predictedFirstToken().plus(this.runner.limits().silence()).toNanos();
		return scheduler().nanos() - this.sentAt > patience;
	}

	private void end(int computedTokens, boolean failed) {
		this.overdue.close();
		Duration firstToken = (this.streaming) ? Duration.ofNanos(this.firstTokenAt - this.sentAt) : null;
		Duration stream = Duration.ofNanos(this.lastTokenAt - this.firstTokenAt);
		int tokens = Math.toIntExact(this.record.log().next() - this.firstOffset);
		this.runner.pool()
			.recordAttempt(this.place.endpoint().name(), new Observation(computedTokens, firstToken,
					this.place.predictedFirstToken(), tokens, stream, failed));
	}

	private Scheduler scheduler() {
		return this.runner.scheduler();
	}

}
