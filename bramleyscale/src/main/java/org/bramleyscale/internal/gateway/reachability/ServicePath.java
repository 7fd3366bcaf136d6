package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;

/**
 * What this daemon knows of its path to the endpoints of one service.
 *
 * <p>
 * Invariant: once lost, the path counts as broken towards the fleet until it has worked
 * for {@link #STABLE_AFTER}, so that a path that comes and goes doesn't draw callers back
 * each time. Confined to the scheduler's thread.
 */
final class ServicePath {

	/** How long a path must work again before callers are sent to this daemon. */
	static final Duration STABLE_AFTER = Duration.ofSeconds(2);

	/** Earlier than any clock reading, without overflow in differences to it. */
	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	private State state = State.UNPROVEN;

	private long connectedAt = LONG_AGO;

	private long answeredAt = LONG_AGO;

	private long recoveringSince;

	/**
	 * Records a new connection.
	 * @param now the time
	 * @return true if the path was lost before
	 */
	boolean connected(long now) {
		this.connectedAt = now;
		if (this.state == State.UNPROVEN) {
			this.state = State.INTACT;
		}
		if (this.state != State.LOST) {
			return false;
		}
		this.state = State.RECOVERING;
		this.recoveringSince = now;
		return true;
	}

	void answered(long now) {
		this.answeredAt = now;
	}

	void lose() {
		this.state = State.LOST;
	}

	/**
	 * Ends a recovery that has lasted long enough.
	 * @param now the time
	 * @return true if the path counts as intact from now on and didn't before
	 */
	boolean stabilize(long now) {
		if (this.state != State.RECOVERING || now - this.recoveringSince < STABLE_AFTER.toNanos()) {
			return false;
		}
		this.state = State.INTACT;
		return true;
	}

	boolean lost() {
		return this.state == State.LOST;
	}

	boolean proven() {
		return this.state == State.INTACT;
	}

	/**
	 * Whether the fleet should send this daemon no callers because of this path.
	 * @return true from its loss until it has been stable
	 */
	boolean broken() {
		return this.state == State.LOST || this.state == State.RECOVERING;
	}

	boolean connectedSince(long time) {
		return this.connectedAt - time > 0;
	}

	boolean answeredSince(long time) {
		return this.answeredAt - time > 0;
	}

	/**
	 * The states of a path.
	 */
	private enum State {

		/** No endpoint has been connected to yet. */
		UNPROVEN,

		INTACT,

		LOST,

		/** It works again, but hasn't for long. */
		RECOVERING

	}

}
