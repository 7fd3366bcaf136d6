package org.bramleyscale.internal.request.life;

import java.util.Optional;

import org.bramleyscale.Ran;

/**
 * The lifecycle state machine of one request.
 *
 * <p>
 * Invariants: there is at most one outcome, it never changes, and no event has an effect
 * after it. Once a lost attempt is recorded as {@link Ran#YES} or {@link Ran#UNKNOWN},
 * that is never reverted; only the attempt in flight can still turn out not to have run,
 * and only before its first frame. Frame offsets are contiguous across all attempts. Not
 * safe for use by multiple threads.
 */
public final class RequestLife {

	private RequestState state = RequestState.RECEIVED;

	private Ran settled;

	private Ran inFlight = Ran.NO;

	private long offset;

	private Outcome outcome;

	/**
	 * Creates the state machine in state {@link RequestState#RECEIVED}.
	 * @param earlierRan whether the request ran before: NO, or UNKNOWN if it may have run
	 * at a daemon that can't be asked
	 */
	public RequestLife(Ran earlierRan) {
		this.settled = earlierRan;
	}

	/**
	 * Applies an event.
	 * @param event the event
	 * @return whether it had an effect; if false, the state is unchanged
	 */
	public boolean apply(LifeEvent event) {
		return event.applyTo(this);
	}

	public RequestState state() {
		return this.state;
	}

	public boolean ended() {
		return this.state == RequestState.ENDED;
	}

	/**
	 * Returns how the request ended.
	 * @return the outcome, or empty if the request has not ended
	 */
	public Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	/**
	 * Returns whether the request ran, as far as is known now.
	 * @return {@code NO} only if nothing was sent, or if every attempt is confirmed not
	 * to have begun
	 */
	public Ran ran() {
		return stronger(this.settled, this.inFlight);
	}

	/**
	 * Returns whether the request ran, not counting an attempt in flight.
	 * @return a value that never decreases in the order NO, UNKNOWN, YES
	 */
	public Ran settledRan() {
		return this.settled;
	}

	/**
	 * Returns the offset of the next token.
	 * @return the number of tokens received so far
	 */
	public long offset() {
		return this.offset;
	}

	/**
	 * Sets the initial offset of a request whose first tokens were delivered by another
	 * daemon.
	 * @param tokens the number of tokens already delivered
	 */
	public void continueAt(long tokens) {
		if (this.state != RequestState.RECEIVED) {
			throw new IllegalStateException("can't continue at " + tokens + " in state " + this.state);
		}
		this.offset = tokens;
	}

	boolean admitted() {
		return transition(RequestState.RECEIVED, RequestState.ADMITTED);
	}

	boolean queued() {
		return transition(RequestState.ADMITTED, RequestState.QUEUED);
	}

	boolean sent() {
		if (!transition(RequestState.QUEUED, RequestState.STARTED)) {
			return false;
		}
		this.inFlight = Ran.UNKNOWN;
		return true;
	}

	boolean frame(long frameOffset, int tokens) {
		if (!running() || frameOffset != this.offset || tokens <= 0) {
			return false;
		}
		this.state = RequestState.STREAMING;
		this.inFlight = Ran.YES;
		this.offset += tokens;
		return true;
	}

	boolean attemptLost(Ran ran) {
		if (!running()) {
			return false;
		}
		Ran attempt = (this.inFlight != Ran.YES) ? ran : Ran.YES;
		this.settled = stronger(this.settled, attempt);
		this.inFlight = Ran.NO;
		this.state = RequestState.QUEUED;
		return true;
	}

	boolean completed() {
		if (!running()) {
			return false;
		}
		this.inFlight = Ran.YES;
		end(Outcome.COMPLETED);
		return true;
	}

	boolean failed() {
		if (this.state == RequestState.RECEIVED || ended()) {
			return false;
		}
		end(Outcome.FAILED);
		return true;
	}

	boolean refused() {
		if (this.state != RequestState.RECEIVED) {
			return false;
		}
		end(Outcome.REFUSED);
		return true;
	}

	private void end(Outcome finalOutcome) {
		this.settled = ran();
		this.state = RequestState.ENDED;
		this.outcome = finalOutcome;
	}

	private boolean running() {
		return this.state == RequestState.STARTED || this.state == RequestState.STREAMING;
	}

	private boolean transition(RequestState from, RequestState to) {
		if (this.state != from) {
			return false;
		}
		this.state = to;
		return true;
	}

	private static Ran stronger(Ran first, Ran second) {
		if (first == Ran.YES || second == Ran.YES) {
			return Ran.YES;
		}
		return (first == Ran.UNKNOWN || second == Ran.UNKNOWN) ? Ran.UNKNOWN : Ran.NO;
	}

}
