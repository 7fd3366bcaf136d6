package org.bramleyscale.internal.endpoint.owner;

import org.bramleyscale.Incarnation;

/**
 * One hold, or one wait for it, in the owner's book.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class MemoryHold {

	private final String id;

	private final Incarnation holder;

	private final long kvTokens;

	private State state;

	private long heardAt;

	private long placedAt;

	private long deferredUntil = Long.MIN_VALUE;

	private boolean calling;

	MemoryHold(String id, Incarnation holder, long kvTokens, State state, long now) {
		this.id = id;
		this.holder = holder;
		this.kvTokens = kvTokens;
		this.state = state;
		this.heardAt = now;
		this.placedAt = now;
	}

	String id() {
		return this.id;
	}

	Incarnation holder() {
		return this.holder;
	}

	long kvTokens() {
		return this.kvTokens;
	}

	State state() {
		return this.state;
	}

	void state(State next) {
		this.state = next;
	}

	long heardAt() {
		return this.heardAt;
	}

	void heard(long now) {
		this.heardAt = now;
	}

	/**
	 * When the engine was last asked to keep the memory.
	 * @return the time
	 */
	long placedAt() {
		return this.placedAt;
	}

	void placed(long now) {
		this.placedAt = now;
	}

	/**
	 * Until when the engine isn't asked again, because it had too little memory.
	 * @return the time
	 */
	long deferredUntil() {
		return this.deferredUntil;
	}

	void deferredUntil(long time) {
		this.deferredUntil = time;
	}

	/**
	 * Whether the engine has been asked to free the memory.
	 * @return true from the first such call on
	 */
	boolean calling() {
		return this.calling;
	}

	void calling(boolean value) {
		this.calling = value;
	}

	boolean occupies() {
		return this.state != State.WAITING;
	}

	/**
	 * States in the order in which a hold passes them.
	 */
	enum State {

		/** Memory is collected for it, or will be once those before it have theirs. */
		WAITING,

		/** The engine has been asked to hold the memory. */
		PLACING,

		/** The engine holds the memory. */
		HELD,

		/** The engine shall free the memory and hasn't confirmed it. */
		RELEASING

	}

}
