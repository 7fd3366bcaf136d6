package org.bramleyscale;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.net.HostAndPort;

/**
 * The settings of one daemon.
 *
 * <p>
 * Invariant: every key of {@link SettingKey#all()} but {@code peerKeyFile} and
 * {@code operatorReadKeyHash} has a value, and the values fit together. Immutable and
 * safe for use by multiple threads. <pre>
 * Settings settings = Settings.builder()
 * 	.set(SettingKey.VM, new VmId("entry-1"))
 * 	...
 * 	.build();
 * Duration timeout = settings.value(SettingKey.CONNECT_TIMEOUT);
 * </pre>
 */
public final class Settings {

	private final Map<SettingKey<?>, Object> values;

	private Settings(Map<SettingKey<?>, Object> values) {
		this.values = Map.copyOf(values);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * The value of one setting.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value, which is the default if none was set
	 */
	@SuppressWarnings("unchecked")
	public <T> T value(SettingKey<T> key) {
		return (T) this.values.get(key);
	}

	public VmId vm() {
		return value(SettingKey.VM);
	}

	public DataCentre dataCentre() {
		return value(SettingKey.DATA_CENTRE);
	}

	public HostAndPort httpAddress() {
		return value(SettingKey.HTTP_ADDRESS);
	}

	public HostAndPort peerAddress() {
		return value(SettingKey.PEER_ADDRESS);
	}

	public URI platformUrl() {
		return value(SettingKey.PLATFORM_URL);
	}

	public String peerKey() {
		return value(SettingKey.PEER_KEY);
	}

	public String operatorKeyHash() {
		return value(SettingKey.OPERATOR_KEY_HASH);
	}

	public List<SeedPeer> seedPeers() {
		return value(SettingKey.SEED_PEERS);
	}

	public LogLevel logLevel() {
		return value(SettingKey.LOG_LEVEL);
	}

	public Duration leaseDuration() {
		return value(SettingKey.LEASE_DURATION);
	}

	public Duration addressKeepFor() {
		return value(SettingKey.ADDRESS_KEEP_FOR);
	}

	public Duration configurationStaleAfter() {
		return value(SettingKey.CONFIGURATION_STALE_AFTER);
	}

	@Override
	public String toString() {
		return "Settings[vm=" + vm() + ", dataCentre=" + dataCentre() + "]";
	}

	/**
	 * Collects values; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Map<SettingKey<?>, Object> values = new HashMap<>();

		private Builder() {
		}

		/**
		 * Sets one value.
		 * @param <T> the type of the value
		 * @param key the key
		 * @param value the value
		 * @return this builder
		 */
		public <T> Builder set(SettingKey<T> key, T value) {
			this.values.put(key, value);
			return this;
		}

		/**
		 * Sets one value from its text.
		 * @param key the key
		 * @param text the value as a file would write it
		 * @return this builder
		 * @throws IllegalArgumentException if the text is not allowed
		 */
		public Builder setText(SettingKey<?> key, String text) {
			this.values.put(key, key.parse(text));
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 * @throws SettingsException if a required value is missing or values don't fit
		 * together, with all that is wrong
		 */
		public Settings build() throws SettingsException {
			List<SettingsProblem> problems = problems();
			if (!problems.isEmpty()) {
				throw new SettingsException(problems);
			}
			return new Settings(withDefaults());
		}

		/**
		 * What is wrong with the values set so far, taken together.
		 * @return the problems, possibly none
		 */
		public List<SettingsProblem> problems() {
			List<SettingsProblem> problems = new ArrayList<>();
			SettingKey.all()
				.stream()
				.filter((key) -> key.defaultText().isEmpty() && !this.values.containsKey(key))
				.forEach((key) -> problems.add(new SettingsProblem(key.name(), "", key.allowed())));
			problems.addAll(SettingRelations.problems(withDefaults()));
			return problems;
		}

		private Map<SettingKey<?>, Object> withDefaults() {
			Map<SettingKey<?>, Object> all = new HashMap<>();
			for (SettingKey<?> key : SettingKey.all()) {
				Optional<String> text = key.defaultText().filter((given) -> !given.isEmpty() || isList(key));
				text.ifPresent((given) -> all.put(key, key.parse(given)));
			}
			all.putAll(this.values);
			return all;
		}

		private static boolean isList(SettingKey<?> key) {
			return key == SettingKey.SEED_PEERS;
		}

	}

}
