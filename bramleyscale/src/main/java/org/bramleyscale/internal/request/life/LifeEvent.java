package org.bramleyscale.internal.request.life;

import org.bramleyscale.Ran;

/**
 * An event in the lifecycle of a request.
 *
 * <p>
 * {@link RequestLife#apply} decides whether an event has an effect in the current state.
 * Immutable and safe for use by multiple threads.
 */
public sealed interface LifeEvent {

	/**
	 * Applies this event by calling the state machine's method for it.
	 * @param life the state machine
	 * @return whether the event had an effect
	 */
	boolean applyTo(RequestLife life);

	/** The request was admitted. */
	record Admitted() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.admitted();
		}

	}

	/** The request was queued for an endpoint. */
	record Queued() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.queued();
		}

	}

	/** An attempt is about to be sent to an endpoint. */
	record Sent() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.sent();
		}

	}

	/**
	 * A part of the answer arrived.
	 *
	 * @param offset the offset of its first token
	 * @param tokens the number of tokens in it
	 */
	record Frame(long offset, int tokens) implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.frame(this.offset, this.tokens);
		}

	}

	/**
	 * An attempt ended without completing.
	 *
	 * @param ran whether the attempt ran, as reported by the endpoint or connection
	 */
	record AttemptLost(Ran ran) implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.attemptLost(this.ran);
		}

	}

	/** The complete answer was received. */
	record Completed() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.completed();
		}

	}

	/** The request failed. */
	record Failed() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.failed();
		}

	}

	/** The request was refused by admission. */
	record Refused() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.refused();
		}

	}

}
