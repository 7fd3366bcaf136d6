package org.bramleyscale.internal.gateway.limit;

import java.util.List;

/**
 * How far the requests that a cold endpoint receives may exceed the rate that it
 * tolerates.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param overshoot the factor applied to the tolerated rate
 * @param slack additional requests in each second
 */
public record ColdBounds(double overshoot, double slack) {

	public ColdBounds {
		if (!(overshoot >= 0) || !(slack >= 0)) {
			throw new IllegalArgumentException("cold bounds must be at least 0, were " + overshoot + " and " + slack);
		}
	}

	/**
	 * The most requests that a cold endpoint may receive in any second.
	 * @param perSecond the rate that it tolerates
	 * @return the bound for all daemons together
	 */
	public double bound(double perSecond) {
		return perSecond * this.overshoot + this.slack;
	}

	/**
	 * The part of the bound that the holders by one list of candidates divide, so that
	 * the holders by two different lists together keep it.
	 * @param perSecond the rate that a cold endpoint tolerates
	 * @return half of the bound
	 */
	Division division(double perSecond) {
		return new Division((int) Math.min(bound(perSecond) / 2, Integer.MAX_VALUE / 2));
	}

	/**
	 * A number of requests that is divided among holders.
	 *
	 * @param requests the number
	 */
	record Division(int requests) {

		/**
		 * Divides the requests among the first of several candidates: as many of them as
		 * possible, and if there are equal divisions, among the most holders. Many small
		 * shares spread an endpoint's capacity over more daemons; a few candidates need
		 * larger ones to use it.
		 *
		 * <p>
		 * No share exceeds an equal part of twice the requests among all possible
		 * candidates, so they keep the bound together even if each knows others.
		 * @param candidates the number of candidates
		 * @param possible the number of possible candidates
		 * @return the shares
		 */
		Shares among(int candidates, int possible) {
			Shares best = new Shares(0, 0);
			int most = Math.max(1, 2 * this.requests / Math.max(1, Math.max(candidates, possible)));
			for (int part : List.of(1, 2, this.requests / Math.max(1, candidates))) {
				int share = Math.min(part, most);
				int holders = (share > 0) ? Math.min(candidates, this.requests / share) : 0;
				if ((long) holders * share > (long) best.holders() * best.requests()) {
					best = new Shares(holders, share);
				}
			}
			return best;
		}

	}

	/**
	 * The division of a bound.
	 *
	 * @param holders the number of holders, the first candidates in the endpoint's order
	 * @param requests the requests that each may send in any second
	 */
	record Shares(int holders, int requests) {
	}

}
