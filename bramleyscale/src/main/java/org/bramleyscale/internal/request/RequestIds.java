package org.bramleyscale.internal.request;

import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;

/**
 * Issues request ids: the incarnation and a counter in base 36.
 *
 * <p>
 * Invariant: no id is issued twice, and {@link #issued} says of each id whether it was
 * issued. Issued suffixes begin with {@code _}; without that mark a caller could choose
 * {@code 17} for itself just before the daemon issues 17 to somebody else, and one of the
 * two would be handed the other's answer. Not safe for use by multiple threads.
 */
public final class RequestIds {

	private static final char MARK = '_';

	private static final int RADIX = 36;

	private final Incarnation self;

	private long next;

	public RequestIds(Incarnation self) {
		this.self = self;
	}

	public RequestId next() {
		String sequence = MARK + Long.toString(this.next, RADIX);
		this.next++;
		return new RequestId(this.self, sequence);
	}

	/**
	 * Whether an id has the form of an issued one, be it issued or not.
	 * @param id the id
	 * @return false if the suffix is a caller's choice
	 */
	public static boolean hasIssuedForm(RequestId id) {
		return id.sequence().charAt(0) == MARK;
	}

	/**
	 * Whether an id was issued here.
	 * @param id the id
	 * @return true if it was returned by {@link #next()}
	 */
	public boolean issued(RequestId id) {
		if (!id.issuer().equals(this.self) || !hasIssuedForm(id)) {
			return false;
		}
		String digits = id.sequence().substring(1);
		try {
			long number = Long.parseLong(digits, RADIX);
			return number >= 0 && number < this.next && Long.toString(number, RADIX).equals(digits);
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

}
