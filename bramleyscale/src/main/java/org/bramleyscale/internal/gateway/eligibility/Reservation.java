package org.bramleyscale.internal.gateway.eligibility;

import java.util.List;

/**
 * A place in the quotas of endpoints for a request that is sent once the memory that it
 * needs is held.
 *
 * <p>
 * Invariant: a reservation counts from its creation until it is used or cancelled, and is
 * used or cancelled once; later calls have no effect. Confined to the scheduler's thread.
 */
public interface Reservation {

	/** The reservation of something that counts as sent already. */
	Reservation SENT = new Reservation() {

		@Override
		public boolean use() {
			return true;
		}

		@Override
		public void cancel() {
			// What was sent stays counted.
		}

	};

	/**
	 * Counts what is reserved as sent now.
	 * @return false if it may not be sent any more, which cancels the reservation
	 */
	boolean use();

	/**
	 * Gives the place up, if it hasn't been used.
	 */
	void cancel();

	/**
	 * Combines several reservations.
	 * @param reservations the reservations
	 * @return a reservation that can be used only if all can; if one can't, the others
	 * are cancelled, and those used before it stay counted
	 */
	static Reservation all(List<Reservation> reservations) {
		List<Reservation> parts = List.copyOf(reservations);
		return new Reservation() {

			@Override
			public boolean use() {
				if (parts.stream().allMatch(Reservation::use)) {
					return true;
				}
				cancel();
				return false;
			}

			@Override
			public void cancel() {
				parts.forEach(Reservation::cancel);
			}

		};
	}

}
