package org.bramleyscale.internal.endpoint.owner;

import org.bramleyscale.Incarnation;

/**
 * A memory hold on an engine, or a request for one, as registered by the owner.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class MemoryHold {

	private final String id;

	private final Incarnation holder;

	private final long kvTokens;

	private State state;

	private long lastContactAt;

	private long lastCallAt;

	private long deferredUntil = Long.MIN_VALUE;

	private boolean releaseCalled;

	MemoryHold(String id, Incarnation holder, long kvTokens, State state, long now) {
		this.id = id;
		this.holder = holder;
		this.kvTokens = kvTokens;
		this.state = state;
		this.lastContactAt = now;
		this.lastCallAt = now;
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

	long lastContactAt() {
		return this.lastContactAt;
	}

	void contacted(long now) {
		this.lastContactAt = now;
	}

	/**
	 * Returns when the engine was last called to hold, renew or free the memory.
	 * @return the time
	 */
	long lastCallAt() {
		return this.lastCallAt;
	}

	void called(long now) {
		this.lastCallAt = now;
	}

	/**
	 * Returns until when the engine is not asked again, because it had too little memory.
	 * @return the time
	 */
	long deferredUntil() {
		return this.deferredUntil;
	}

	void deferredUntil(long time) {
		this.deferredUntil = time;
	}

	/**
	 * Returns whether the engine has been called to free the memory.
	 * @return true from the first such call on
	 */
	boolean releaseCalled() {
		return this.releaseCalled;
	}

	void releaseCalled(boolean value) {
		this.releaseCalled = value;
	}

	boolean occupies() {
		return this.state != State.WAITING;
	}

	/**
	 * The states of a hold, in the order in which it passes through them.
	 */
	enum State {

		/**
		 * Memory is being collected for the hold, or will be once earlier holds are
		 * placed.
		 */
		WAITING,

		/** The engine has been asked to hold the memory. */
		PLACING,

		/** The engine holds the memory. */
		HELD,

		/** The memory is to be freed, and the engine has not confirmed it yet. */
		RELEASING

	}

}
