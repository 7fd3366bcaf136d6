package org.bramleyscale;

/**
 * One thing wrong with a settings file.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param key the key, nested names separated by dots
 * @param value what the file says; secrets are replaced by {@code (hidden)}
 * @param allowed what is allowed
 */
public record SettingsProblem(String key, String value, String allowed) {

	@Override
	public String toString() {
		return this.key + ": '" + this.value + "' is not allowed; allowed is " + this.allowed;
	}

}
