package org.bramleyscale.internal.gateway.catalog;

import java.util.OptionalInt;

import org.bramleyscale.ClientAccountId;

/**
 * A client account as configured by the operator.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param id the account
 * @param priority the priority of its requests, which overrides that of their route; 0 is
 * the most urgent
 * @param allowedRegions the regions in which its requests may run
 */
public record Account(ClientAccountId id, OptionalInt priority, AllowedRegions allowedRegions) {

	/**
	 * Creates an account whose requests may run in any region.
	 * @param id the account
	 * @param priority the priority of its requests
	 */
	public Account(ClientAccountId id, OptionalInt priority) {
		this(id, priority, AllowedRegions.ANY);
	}

}
