package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides a whole number of units max-min fairly.
 *
 * <p>
 * Invariants: no claim gets more than it wants, the sum of the shares does not exceed
 * what is available, and if there is less than one unit per claim, those that have waited
 * longest get one unit each. Stateless and safe for use by multiple threads.
 */
final class FairShares {

	private FairShares() {
	}

	/**
	 * Divides the units among the claims.
	 * @param available the number of units
	 * @param claims the claims on the units
	 * @return the shares in the order of the claims
	 */
	static long[] divide(long available, List<Claim> claims) {
		long[] shares = new long[claims.size()];
		List<Integer> wanting = new ArrayList<>();
		for (int i = 0; i < claims.size(); i++) {
			if (claims.get(i).wanted > 0) {
				wanting.add(i);
			}
		}
		if (available < wanting.size()) {
			serveOldest(available, claims, wanting, shares);
		}
		else {
			fill(available, claims, wanting, shares);
		}
		return shares;
	}

	private static void serveOldest(long available, List<Claim> claims, List<Integer> wanting, long[] shares) {
		wanting.sort(Comparator.comparingLong((index) -> claims.get(index).waitingSince));
		for (int i = 0; i < available; i++) {
			shares[wanting.get(i)] = 1;
		}
	}

	private static void fill(long available, List<Claim> claims, List<Integer> wanting, long[] shares) {
		// Claims later in this order get the units left over by rounding down.
		wanting.sort(Comparator.comparingLong((Integer index) -> claims.get(index).wanted)
			.thenComparingLong((index) -> -claims.get(index).waitingSince));
		long remaining = available;
		int unserved = wanting.size();
		for (int index : wanting) {
			long share = Math.min(claims.get(index).wanted, remaining / unserved);
			shares[index] = share;
			remaining -= share;
			unserved--;
		}
	}

	/**
	 * A claim on a number of units.
	 *
	 * @param wanted the number of units wanted
	 * @param waitingSince when the claim began to wait for units; the smallest is served
	 * first
	 */
	record Claim(long wanted, long waitingSince) {
	}

}
