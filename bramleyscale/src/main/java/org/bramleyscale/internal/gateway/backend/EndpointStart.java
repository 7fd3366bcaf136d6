package org.bramleyscale.internal.gateway.backend;

import org.bramleyscale.EndpointId;

/**
 * One start of an endpoint.
 *
 * <p>
 * An endpoint may start again under its id. It then knows nothing of what it ran, held or
 * failed before. Whoever kept its load or its failures by id alone would take a fresh and
 * idle endpoint for a busy or failing one, and a late answer of the earlier start would
 * count against it; so what is remembered of an endpoint is kept by its start. Immutable
 * and safe for use by multiple threads.
 *
 * @param id the endpoint's id
 * @param bornMillis the time of day at which it started, in ms since 1970, or
 * {@link #UNTOLD}
 */
public record EndpointStart(EndpointId id, long bornMillis) {

	/** The endpoint doesn't tell when it started. */
	public static final long UNTOLD = -1;

	private static final char SEPARATOR = '@';

	/**
	 * The only start of an endpoint that doesn't tell when it started.
	 * @param id the endpoint's id
	 * @return the start
	 */
	public static EndpointStart untold(String id) {
		return new EndpointStart(new EndpointId(id), UNTOLD);
	}

	/**
	 * Reads what {@link #toString()} wrote.
	 * @param text the text
	 * @return the start
	 */
	public static EndpointStart parse(String text) {
		int separator = text.lastIndexOf(SEPARATOR);
		if (separator < 0) {
			return untold(text);
		}
		return new EndpointStart(new EndpointId(text.substring(0, separator)),
				Long.parseLong(text.substring(separator + 1)));
	}

	/**
	 * Whether the endpoint tells when it started.
	 * @return false if one start can't be told from the next
	 */
	public boolean told() {
		return this.bornMillis != UNTOLD;
	}

	/**
	 * Written out: the method that a record gets by itself goes through method handles,
	 * which the daemon's quick compiler doesn't inline. Starts are keys of maps that each
	 * placement reads for each endpoint and peer.
	 */
	@Override
	public boolean equals(Object other) {
		return other instanceof EndpointStart that && this.bornMillis == that.bornMillis && this.id.equals(that.id);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + Long.hashCode(this.bornMillis);
	}

	@Override
	public String toString() {
		return told() ? this.id.value() + SEPARATOR + this.bornMillis : this.id.value();
	}

}
