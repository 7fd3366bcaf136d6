package org.bramleyscale.internal.address;

import java.time.Duration;
import java.util.List;

/**
 * The entries that a client account should call.
 *
 * @param entries the entries, the preferred one first
 * @param keepFor how long the caller may keep the answer
 */
public record AddressAnswer(List<Entry> entries, Duration keepFor) {

	public AddressAnswer {
		entries = List.copyOf(entries);
	}

	/**
	 * One entry.
	 *
	 * @param address {@code host:port} for HTTP
	 * @param requestIdPrefix the written incarnation; a caller that makes its own request
	 * id puts {@code ~} and a suffix behind it
	 * @param dataCentre where it runs
	 */
	public record Entry(String address, String requestIdPrefix, String dataCentre) {
	}

}
