package org.bramleyscale.internal.configuration;

import java.util.function.Consumer;

/**
 * The configuration in force at this daemon.
 *
 * <p>
 * Invariant: the version never decreases. Confined to the scheduler's thread.
 */
public interface ConfigurationSource {

	Configuration current();

	/**
	 * Whether this daemon may admit requests: it holds a configuration and has lately
	 * heard a peer or the platform confirm what the newest version is.
	 * @return true if requests may be admitted
	 */
	boolean fresh();

	/**
	 * Adds a listener called with each new configuration.
	 * @param listener the listener
	 */
	void onChange(Consumer<Configuration> listener);

}
