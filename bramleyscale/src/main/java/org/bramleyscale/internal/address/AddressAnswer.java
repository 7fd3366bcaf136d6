package org.bramleyscale.internal.address;

import java.time.Duration;
import java.util.List;

/**
 * The entries that a client account should call, in order of preference.
 *
 * @param entries the entries, the preferred one first
 * @param keepFor how long the caller may cache the answer
 */
public record AddressAnswer(List<Entry> entries, Duration keepFor) {

	public AddressAnswer {
		entries = List.copyOf(entries);
	}

	/**
	 * One entry.
	 *
	 * @param address {@code host:port} for HTTP
	 * @param requestIdPrefix the string form of the incarnation; a caller that generates
	 * its own request id appends {@code ~} and a suffix
	 * @param dataCentre the data centre in which the entry runs
	 */
	public record Entry(String address, String requestIdPrefix, String dataCentre) {
	}

}
