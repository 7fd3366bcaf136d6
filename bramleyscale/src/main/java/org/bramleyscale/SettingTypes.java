package org.bramleyscale;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * The types that settings have.
 *
 * <p>
 * All returned objects are immutable and safe for use by multiple threads.
 */
final class SettingTypes {

	private static final int LARGEST_PORT = 65_535;

	private static final int SHORTEST_KEY = 16;

	private SettingTypes() {
	}

	static <T> SettingType<T> name(Function<String, T> constructor) {
		return type("a name of at most 128 letters, digits, '.', '_', ':' and '-' that starts with a letter or digit",
				constructor);
	}

	static SettingType<HostAndPort> address() {
		return type("an IP number and a port, such as 10.1.2.3:8080; the IP number is the one that others connect to",
				SettingTypes::parseAddress);
	}

	static SettingType<List<SeedPeer>> seedPeers() {
		return type("a list of VMs with data centre and peer address, such as [entry-1/shah-alam/10.1.2.3:9080]",
				(text) -> Splitter.on(',')
					.trimResults()
					.omitEmptyStrings()
					.splitToStream(text)
					.map(SeedPeer::parse)
					.collect(Collectors.toUnmodifiableList()));
	}

	static SettingType<URI> httpUrl() {
		return type("an http or https URL without a query, such as http://10.1.2.3:7000", SettingTypes::parseUrl);
	}

	static SettingType<String> secret() {
		return type("at least " + SHORTEST_KEY + " characters",
				(text) -> require(text, text.length() >= SHORTEST_KEY, "is too short"));
	}

	static SettingType<String> path() {
		return type("the path of a readable file", (text) -> require(text, !text.isBlank(), "is blank"));
	}

	static SettingType<String> sha256() {
		return type("64 lower-case hex digits, the SHA-256 of a key",
				(text) -> require(text, text.matches("[0-9a-f]{64}"), "is not a SHA-256"));
	}

	static <E extends Enum<E>> SettingType<E> oneOf(Class<E> type) {
		String names = Arrays.stream(type.getEnumConstants()).map(Enum::name).collect(Collectors.joining(", "));
		return type("one of " + names, (text) -> Enum.valueOf(type, text));
	}

	static SettingType<Duration> duration(Duration least, Duration most) {
		return new DurationSetting(least, most);
	}

	static SettingType<Integer> bytes(int least, int most) {
		return new ByteCountSetting(least, most);
	}

	static SettingType<Integer> count(int least, int most) {
		return type("a whole number from " + least + " to " + most, (text) -> {
			int value = Integer.parseInt(text);
			require(text, value >= least && value <= most, "is out of range");
			return value;
		});
	}

	static SettingType<Boolean> flag() {
		return type("true or false", (text) -> {
			require(text, "true".equals(text) || "false".equals(text), "is neither true nor false");
			return Boolean.valueOf(text);
		});
	}

	static SettingType<Double> share() {
		return type("a number from 0 to 1", (text) -> {
			double value = Double.parseDouble(text);
			require(text, value >= 0 && value <= 1, "is out of range");
			return value;
		});
	}

	static HostAndPort parseAddress(String text) {
		HostAndPort address = HostAndPort.fromString(text);
		require(text, address.hasPort() && address.getPort() <= LARGEST_PORT, "has no port");
		require(text, InetAddresses.isInetAddress(address.getHost()), "has no IP number");
		boolean wildcard = InetAddresses.forString(address.getHost()).isAnyLocalAddress();
		require(text, !wildcard, "is not an address that others can connect to");
		return address;
	}

	private static URI parseUrl(String text) {
		URI url = URI.create(text);
		boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
		require(text, http && url.getHost() != null, "is not an http URL");
		require(text, url.getQuery() == null && url.getFragment() == null, "has a query or a fragment");
		return url;
	}

	private static String require(String text, boolean valid, String fault) {
		if (!valid) {
			throw new IllegalArgumentException("'" + text + "' " + fault);
		}
		return text;
	}

	private static <T> SettingType<T> type(String allowed, Function<String, T> parser) {
		return new SettingType<>() {
			@Override
			public T parse(String text) {
				return parser.apply(text);
			}

			@Override
			public String allowed() {
				return allowed;
			}
		};
	}

}
