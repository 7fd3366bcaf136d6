package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * The use that an endpoint's reports show but that its owner cannot attribute to an entry
 * or a hold.
 *
 * <p>
 * Requests of entries that failed or are unreachable still use the endpoint; if they were
 * not counted, their share would be granted a second time. Reports and demands are made
 * at different times, so a single difference is not significant: only use that several
 * consecutive reports show is counted. Confined to the scheduler's thread.
 */
final class UnattributedUse {

	private static final int REPORTS_CONSIDERED = 3;

	private final Deque<Amount> differences = new ArrayDeque<>();

	private Amount reported;

	/**
	 * Processes a report.
	 * @param used the use that it shows
	 * @param known the highest known use around the previous report
	 */
	void reportReceived(Amount used, Amount known) {
		if (this.reported != null) {
			this.differences.addLast(this.reported.minus(known));
		}
		if (this.differences.size() >= REPORTS_CONSIDERED) {
			this.differences.removeFirst();
		}
		this.reported = used;
	}

	/**
	 * Discards earlier differences because an entry was removed: what it still uses at
	 * the endpoint counts from the newest report on, without waiting for further reports.
	 */
	void entryRemoved() {
		this.differences.clear();
	}

	/**
	 * Resets the state after a restart of the endpoint.
	 */
	void clear() {
		this.differences.clear();
		this.reported = null;
	}

	/**
	 * Returns the use that is not attributed to any entry or hold.
	 * @param known the highest known use since the newest report
	 * @return the amount, never negative
	 */
	Amount amount(Amount known) {
		if (this.reported == null) {
			return Amount.NONE;
		}
		Amount least = this.reported.minus(known);
		for (Amount difference : this.differences) {
			least = least.min(difference);
		}
		return least.max(Amount.NONE);
	}

}
