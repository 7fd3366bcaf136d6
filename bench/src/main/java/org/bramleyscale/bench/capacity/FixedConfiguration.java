package org.bramleyscale.bench.capacity;

import java.util.function.Consumer;

import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;

/**
 * A configuration that never changes.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param current the configuration
 */
record FixedConfiguration(Configuration current) implements ConfigurationSource {

	@Override
	public boolean fresh() {
		return true;
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
	}

}
