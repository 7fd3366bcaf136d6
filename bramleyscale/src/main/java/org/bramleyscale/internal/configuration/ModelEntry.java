package org.bramleyscale.internal.configuration;

import org.bramleyscale.ModelName;

/**
 * One model of the register.
 *
 * @param name the model
 * @param contextTokens the longest prompt plus answer it takes, in tokens
 */
public record ModelEntry(ModelName name, int contextTokens) implements ConfigurationEntry {

	@Override
	public EntryKey key() {
		return EntryKey.of(EntryType.MODEL, this.name.value());
	}

}
