package org.bramleyscale.internal.endpoint.pool;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * A grant that this entry holds for one endpoint.
 *
 * @param epoch the owner's epoch
 * @param number the grant's number in that epoch
 * @param amount the capacity that may be used, including requests in flight
 * @param expiresAt when it expires, by the entry's monotonic clock
 * @param lifetime its lifetime in nanoseconds
 */
record HeldGrant(long epoch, long number, Amount amount, long expiresAt, long lifetime) {

	boolean live(long now) {
		return now - this.expiresAt < 0;
	}

}
