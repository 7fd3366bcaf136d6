package org.bramleyscale.internal.gateway.backend;

import org.bramleyscale.EndpointId;

/**
 * One start of an endpoint.
 *
 * <p>
 * An endpoint may restart under the same id and then has no state of its earlier start.
 * If load and failures were kept by id alone, a restarted, idle endpoint would appear
 * busy or failing, and a late answer of the earlier start would be attributed to it.
 * State about an endpoint is therefore keyed by its start. Immutable and safe for use by
 * multiple threads.
 *
 * @param id the endpoint's id
 * @param startMillis the start time, in ms since 1970, or {@link #UNKNOWN_START} if
 * unknown
 */
public record EndpointStart(EndpointId id, long startMillis) {

	/** The start time of an endpoint that provides none. */
	public static final long UNKNOWN_START = -1;

	private static final char SEPARATOR = '@';

	/**
	 * Creates the start of an endpoint that provides no start time.
	 * @param id the endpoint's id
	 * @return the start
	 */
	public static EndpointStart withUnknownStart(String id) {
		return new EndpointStart(new EndpointId(id), UNKNOWN_START);
	}

	/**
	 * Parses the format written by {@link #toString()}.
	 * @param text the text
	 * @return the start
	 */
	public static EndpointStart parse(String text) {
		int separator = text.lastIndexOf(SEPARATOR);
		if (separator < 0) {
			return withUnknownStart(text);
		}
		return new EndpointStart(new EndpointId(text.substring(0, separator)),
				Long.parseLong(text.substring(separator + 1)));
	}

	/**
	 * Whether the endpoint provides its start time.
	 * @return false if its starts can't be distinguished
	 */
	public boolean hasKnownStart() {
		return this.startMillis != UNKNOWN_START;
	}

	/**
	 * Replaces the implicit method of records, which goes through method handles that the
	 * daemon's JIT compiler (C1) doesn't inline. Starts are keys of maps that each
	 * placement reads for each endpoint and peer.
	 */
	@Override
	public boolean equals(Object other) {
		return other instanceof EndpointStart that && this.startMillis == that.startMillis && this.id.equals(that.id);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + Long.hashCode(this.startMillis);
	}

	@Override
	public String toString() {
		return hasKnownStart() ? this.id.value() + SEPARATOR + this.startMillis : this.id.value();
	}

}
