package org.bramleyscale.internal.request.life;

import org.bramleyscale.Ran;

/**
 * Something that happens to a request.
 *
 * <p>
 * Events are values; {@link RequestLife#apply} decides whether one has an effect in the
 * state that it meets. Immutable and safe for use by multiple threads.
 */
public sealed interface LifeEvent {

	/**
	 * Hands this event to the method that takes it.
	 * @param life the life to change
	 * @return whether it had an effect
	 */
	boolean applyTo(RequestLife life);

	/** Admission took the request. */
	record Admitted() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.admitted();
		}

	}

	/** The request began to wait for an endpoint. */
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
	 * @param tokens how many tokens it holds
	 */
	record Frame(long offset, int tokens) implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.frame(this.offset, this.tokens);
		}

	}

	/**
	 * An attempt ended without completion.
	 *
	 * @param ran what the endpoint or the connection vouches for
	 */
	record AttemptLost(Ran ran) implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.attemptLost(this.ran);
		}

	}

	/** The whole answer is there. */
	record Completed() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.completed();
		}

	}

	/** The request is given up. */
	record Failed() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.failed();
		}

	}

	/** The request is not admitted. */
	record Refused() implements LifeEvent {

		@Override
		public boolean applyTo(RequestLife life) {
			return life.refused();
		}

	}

}
