package org.bramleyscale.internal.configuration;

import java.util.List;
import java.util.Set;

import org.bramleyscale.ServiceName;

/**
 * What the operator wants. Immutable and safe for use by multiple threads.
 *
 * @param urgent the services whose requests go before others
 * @param accounts the client accounts
 */
public record Rules(Set<ServiceName> urgent, List<AccountRule> accounts) {

	/** Rules without entries. */
	public static final Rules EMPTY = new Rules(Set.of(), List.of());

	public Rules {
		urgent = Set.copyOf(urgent);
		accounts = List.copyOf(accounts);
	}

}
