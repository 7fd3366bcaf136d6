package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * What an endpoint's reports show in use beyond all that its owner knows of.
 *
 * <p>
 * Requests of entries that died or can't be heard still use the endpoint; were they not
 * counted, their part would be granted a second time. Reports and demands are taken at
 * different moments, so a single difference means little: only what several reports in a
 * row show counts. Confined to the scheduler's thread.
 */
final class UnknownUse {

	private static final int REPORTS = 3;

	private final Deque<Amount> differences = new ArrayDeque<>();

	private Amount reported;

	/**
	 * Takes in a report.
	 * @param used what it shows in use
	 * @param known the most that was known to be in use around the former report
	 */
	void reported(Amount used, Amount known) {
		if (this.reported != null) {
			this.differences.addLast(this.reported.minus(known));
		}
		if (this.differences.size() >= REPORTS) {
			this.differences.removeFirst();
		}
		this.reported = used;
	}

	/**
	 * An entry was forgotten: what it has at the endpoint counts from the newest report
	 * on, without waiting for more.
	 */
	void entryForgotten() {
		this.differences.clear();
	}

	/**
	 * Forgets everything, since the endpoint has restarted.
	 */
	void clear() {
		this.differences.clear();
		this.reported = null;
	}

	/**
	 * The part in use that nobody is known to use.
	 * @param known the most that was known to be in use since the newest report
	 * @return the part, never negative
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
