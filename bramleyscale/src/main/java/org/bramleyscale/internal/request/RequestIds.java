package org.bramleyscale.internal.request;

import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;

/**
 * Issues request ids, which consist of the incarnation and a counter in base 36.
 *
 * <p>
 * Invariant: no id is issued twice, and {@link #issued} determines whether a given id was
 * issued. Issued suffixes begin with {@code _}. Without this prefix a caller could choose
 * {@code 17} just before the daemon issues 17 to another caller, and one of the two would
 * receive the other's answer. Not safe for use by multiple threads.
 */
public final class RequestIds {

	private static final char ISSUED_PREFIX = '_';

	private static final int RADIX = 36;

	private final Incarnation self;

	private long next;

	public RequestIds(Incarnation self) {
		this.self = self;
	}

	public RequestId next() {
		String sequence = ISSUED_PREFIX + Long.toString(this.next, RADIX);
		this.next++;
		return new RequestId(this.self, sequence);
	}

	/**
	 * Whether an id has the form of an issued id, regardless of whether it was issued.
	 * @param id the id
	 * @return false if the suffix was chosen by a caller
	 */
	public static boolean hasIssuedForm(RequestId id) {
		return id.sequence().charAt(0) == ISSUED_PREFIX;
	}

	/**
	 * Whether an id was issued by this instance.
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
