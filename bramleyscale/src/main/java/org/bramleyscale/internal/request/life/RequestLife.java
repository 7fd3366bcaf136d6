package org.bramleyscale.internal.request.life;

import java.util.Optional;

import org.bramleyscale.Ran;

/**
 * The state machine of one request.
 *
 * <p>
 * Invariants: there is at most one outcome and it never changes; nothing has an effect
 * after it. What is known to have run, or may have run, in a lost attempt is never taken
 * back; only the attempt in flight can still turn out not to have run, and only before
 * its first frame. Offsets of frames are contiguous over all attempts. Not safe for use
 * by multiple threads.
 */
public final class RequestLife {

	private RequestState state = RequestState.RECEIVED;

	private Ran settled;

	private Ran inFlight = Ran.NO;

	private long offset;

	private Outcome outcome;

	/**
	 * Begins a life.
	 * @param earlier whether the request ran before this life: NO, or UNKNOWN if an
	 * earlier life elsewhere can't be asked
	 */
	public RequestLife(Ran earlier) {
		this.settled = earlier;
	}

	/**
	 * Applies an event.
	 * @param event the event
	 * @return whether it had an effect; false leaves this life as it was
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
	 * How the request ended.
	 * @return the outcome, or empty while it has none
	 */
	public Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	/**
	 * Whether the request ran, as far as can be said now.
	 * @return {@code NO} only if nothing was sent or every endpoint vouched that it did
	 * not begin
	 */
	public Ran ran() {
		return stronger(this.settled, this.inFlight);
	}

	/**
	 * Whether it ran, attempts in flight left aside.
	 * @return what never changes back
	 */
	public Ran settledRan() {
		return this.settled;
	}

	/**
	 * The offset of the next token.
	 * @return tokens received so far
	 */
	public long offset() {
		return this.offset;
	}

	/**
	 * Begins at an offset with tokens that came from elsewhere.
	 * @param tokens tokens already delivered
	 */
	public void continueAt(long tokens) {
		if (this.state != RequestState.RECEIVED) {
			throw new IllegalStateException("can't continue at " + tokens + " in state " + this.state);
		}
		this.offset = tokens;
	}

	boolean admitted() {
		return move(RequestState.RECEIVED, RequestState.ADMITTED);
	}

	boolean queued() {
		return move(RequestState.ADMITTED, RequestState.QUEUED);
	}

	boolean sent() {
		if (!move(RequestState.QUEUED, RequestState.STARTED)) {
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

	private void end(Outcome how) {
		this.settled = ran();
		this.state = RequestState.ENDED;
		this.outcome = how;
	}

	private boolean running() {
		return this.state == RequestState.STARTED || this.state == RequestState.STREAMING;
	}

	private boolean move(RequestState from, RequestState to) {
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
