package org.bramleyscale.internal.configuration;

/**
 * The smallest piece of configuration that is stored and spread as a whole.
 *
 * <p>
 * Implementations are immutable and safe for use by multiple threads.
 */
public sealed interface ConfigurationEntry
		permits VmEntry, ModelEntry, ServiceEntry, EndpointEntry, AccountRule, UrgentService {

	/**
	 * Which entry it is.
	 * @return a key that no other entry of a configuration has
	 */
	EntryKey key();

}
