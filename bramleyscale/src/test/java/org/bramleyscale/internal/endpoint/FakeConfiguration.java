package org.bramleyscale.internal.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;

/**
 * A configuration that changes when it is told to.
 */
final class FakeConfiguration implements ConfigurationSource {

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private Configuration current;

	FakeConfiguration(Configuration current) {
		this.current = current;
	}

	void set(Configuration newer) {
		this.current = newer;
		List.copyOf(this.listeners).forEach((listener) -> listener.accept(newer));
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
