package org.bramleyscale.internal.configuration;

import org.bramleyscale.ServiceName;

/**
 * The rule that one service is urgent.
 *
 * @param name the service
 */
public record UrgentService(ServiceName name) implements ConfigurationEntry {

	@Override
	public EntryKey key() {
		return EntryKey.of(EntryType.URGENT, this.name.value());
	}

}
