package org.bramleyscale.internal.gateway.retry;

/**
 * A retry that was taken from the budget for one request.
 *
 * <p>
 * Invariant: it counts as arriving at any time between its sending and its end, and until
 * it is sent it is held back from others. Confined to the scheduler's thread.
 */
public interface RetryPermit {

	/** Stands for a first attempt, which needs no permit. */
	RetryPermit NONE = new RetryPermit() {

		@Override
		public void sent() {
			// A first attempt isn't counted.
		}

		@Override
		public void notSent() {
			// A first attempt isn't counted.
		}

		@Override
		public void arrived() {
			// A first attempt isn't counted.
		}

		@Override
		public void end() {
			// A first attempt isn't counted.
		}

	};

	/** Records that the retry is sent to an endpoint. */
	void sent();

	/**
	 * Records that the sending reached no endpoint, so that the permit holds for another.
	 */
	void notSent();

	/** Records that the endpoint has begun to answer. */
	void arrived();

	/**
	 * Ends the permit: one that wasn't used returns to the budget, and a retry without an
	 * answer counts until nothing of it can be on its way any more.
	 */
	void end();

}
