package org.bramleyscale.internal.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;

/**
 * A configuration source whose configuration a test sets.
 */
final class FakeConfiguration implements ConfigurationSource {

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private Configuration current;

	FakeConfiguration(Configuration current) {
		this.current = current;
	}

	void set(Configuration configuration) {
		this.current = configuration;
		List.copyOf(this.listeners).forEach((listener) -> listener.accept(configuration));
	}

	@Override
	public Configuration current() {
		return this.current;
	}

	@Override
	public boolean fresh() {
		return true;
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

}
