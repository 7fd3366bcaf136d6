package org.bramleyscale.internal.configuration;

import java.time.Duration;

import org.bramleyscale.ServiceName;

/**
 * One service of the register.
 *
 * @param name the service
 * @param kind what its endpoints are
 * @param timeout how long a request may take when the caller names no deadline
 * @param repeatable whether its calls may be repeated when the caller says nothing
 */
public record ServiceEntry(ServiceName name, Kind kind, Duration timeout,
		boolean repeatable) implements ConfigurationEntry {

	/**
	 * What a service's endpoints are.
	 */
	public enum Kind {

		/** Model engines, which stream tokens. */
		MODEL,

		/** Plain services, which answer whole. */
		PLAIN

	}

	@Override
	public EntryKey key() {
		return EntryKey.of(EntryType.SERVICE, this.name.value());
	}

}
