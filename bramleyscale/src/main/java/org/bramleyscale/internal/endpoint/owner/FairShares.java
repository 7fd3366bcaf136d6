package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Max-min fair division of a whole number of units.
 *
 * <p>
 * Invariants: nobody gets more than it wants, the sum isn't above what is available, and
 * if there is less than one unit for each, those that have waited longest get one.
 * Stateless and safe for use by multiple threads.
 */
final class FairShares {

	private FairShares() {
	}

	/**
	 * Divides.
	 * @param available how much there is
	 * @param claims who wants how much
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
		// Whoever comes later in this order gets what the rounding leaves.
		wanting.sort(Comparator.comparingLong((Integer index) -> claims.get(index).wanted)
			.thenComparingLong((index) -> -claims.get(index).waitingSince));
		long left = available;
		int unserved = wanting.size();
		for (int index : wanting) {
			long share = Math.min(claims.get(index).wanted, left / unserved);
			shares[index] = share;
			left -= share;
			unserved--;
		}
	}

	/**
	 * One claim.
	 *
	 * @param wanted how much is wanted
	 * @param waitingSince since when nothing could be had; smaller is served first
	 */
	record Claim(long wanted, long waitingSince) {
	}

}
