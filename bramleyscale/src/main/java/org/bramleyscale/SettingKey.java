package org.bramleyscale;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.net.HostAndPort;

/**
 * One row of the table of settings.
 *
 * <p>
 * The table is the only place where a setting's name, unit, default, meaning and allowed
 * values are written down: the loader, the check and the documentation are made from it.
 * Immutable and safe for use by multiple threads.
 *
 * @param <T> the type of the setting's value
 */
public final class SettingKey<T> {

	/** The VM's name. */
	public static final SettingKey<VmId> VM = required("vm", SettingTypes.name(VmId::new),
			"Name of the VM that this daemon runs on, as in the register and the platform's list");

	/** The VM's data centre. */
	public static final SettingKey<DataCentre> DATA_CENTRE = required("dataCentre", SettingTypes.name(DataCentre::new),
			"Data centre of the VM");

	/** Where callers connect. */
	public static final SettingKey<HostAndPort> HTTP_ADDRESS = required("httpAddress", SettingTypes.address(),
			"Where the daemon takes HTTP requests of callers and operators");

	/** Where peers connect. */
	public static final SettingKey<HostAndPort> PEER_ADDRESS = required("peerAddress", SettingTypes.address(),
			"Where the daemon takes connections of other daemons");

	/** Where the platform is. */
	public static final SettingKey<URI> PLATFORM_URL = required("platformUrl", SettingTypes.httpUrl(),
			"Base URL of the platform's object API");

	/** What peers show each other. */
	public static final SettingKey<String> PEER_KEY = secret("peerKey", SettingTypes.secret(),
			"Key that daemons show each other; the same on all daemons. Either this or peerKeyFile is needed");

	/** Where the peer key is kept. */
	public static final SettingKey<String> PEER_KEY_FILE = optional("peerKeyFile", SettingTypes.path(), "",
			"File that holds the peer key, in place of peerKey; white space around the key is ignored");

	/** What operators show. */
	public static final SettingKey<String> OPERATOR_KEY_HASH = required("operatorKeyHash", SettingTypes.sha256(),
			"SHA-256 of the key that operators show to change and to see things");

	/** What those show who may look only. */
	public static final SettingKey<String> OPERATOR_READ_KEY_HASH = optional("operatorReadKeyHash",
			SettingTypes.sha256(), "",
			"SHA-256 of a second key that shows status, documents and metrics but changes nothing");

	/** Whether the status page needs a key. */
	public static final SettingKey<Boolean> OPEN_STATUS_PAGE = optional("openStatusPage", SettingTypes.flag(), "false",
			"Whether the page /status is shown without a key; everything else still needs one");

	/** Peers known beforehand. */
	public static final SettingKey<List<SeedPeer>> SEED_PEERS = optional("seedPeers", SettingTypes.seedPeers(), "",
			"Daemons to connect to at the start while the platform doesn't answer");

	/** How much is logged. */
	public static final SettingKey<LogLevel> LOG_LEVEL = optional("logLevel", SettingTypes.oneOf(LogLevel.class),
			"INFO", "How much is logged");

	/** How long a lease lasts. */
	public static final SettingKey<Duration> LEASE_DURATION = optional("leaseDuration", duration("2s", "5m"), "10s",
			"How long a lease lasts without being renewed; the same on all daemons");

	/** How long address answers are kept. */
	public static final SettingKey<Duration> ADDRESS_KEEP_FOR = optional("addressKeepFor", duration("1s", "10m"), "10s",
			"How long callers may keep an address answer");

	/** How long an unconfirmed configuration counts as in force. */
	public static final SettingKey<Duration> CONFIGURATION_STALE_AFTER = optional("configurationStaleAfter",
			duration("2s", "1m"), "5s",
			"How long after the last confirmation of its configuration a daemon goes on admitting requests");

	/** The largest request body. */
	public static final SettingKey<Integer> MAX_BODY_BYTES = optional("limits.maxBodyBytes", bytes("1KB", "256MB"),
			"32MB", "Largest body of a caller's request");

	/** The largest peer frame. */
	public static final SettingKey<Integer> MAX_FRAME_BYTES = optional("limits.maxFrameBytes", bytes("64KB", "512MB"),
			"40MB", "Largest frame between daemons; must exceed limits.maxBodyBytes, since requests are forwarded");

	/** The bound on bytes queued to one peer. */
	public static final SettingKey<Integer> MAX_QUEUED_BYTES = optional("limits.maxQueuedBytes",
			bytes("64KB", "1024MB"), "64MB",
			"Most bytes waiting to be sent to one other daemon; must be at least limits.maxFrameBytes");

	/** The bound on requests that wait. */
	public static final SettingKey<Integer> MAX_REQUESTS = optional("limits.maxRequests",
			SettingTypes.count(1, 1_000_000), "10000",
			"Most requests that wait at the daemon at a time; more are refused");

	/** The share of requests that may be repeated. */
	public static final SettingKey<Double> RETRY_BUDGET = optional("limits.retryBudget", SettingTypes.share(), "0.1",
			"Most retries towards endpoints, as a share of first attempts");

	/** The time of one platform call. */
	public static final SettingKey<Duration> PLATFORM_CALL_TIMEOUT = optional("timeouts.platformCall",
			duration("100ms", "1m"), "2s", "Time for one call to the platform, waiting watches excepted");

	/** How long a platform watch waits. */
	public static final SettingKey<Duration> PLATFORM_WATCH_WAIT = optional("timeouts.platformWatch",
			duration("200ms", "1m"), "1s", "How long the platform may hold a waiting watch when nothing changes");

	/** The time to connect. */
	public static final SettingKey<Duration> CONNECT_TIMEOUT = optional("timeouts.connect", duration("50ms", "30s"),
			"1s", "Time to open a connection to an endpoint");

	/** The silence after which a stream is resumed. */
	public static final SettingKey<Duration> STREAM_SILENCE = optional("timeouts.streamSilence",
			duration("500ms", "5m"), "5s", "Silence of a stream after which it is resumed over a new connection");

	/** The time for a planned stop. */
	public static final SettingKey<Duration> DRAIN_LIMIT = optional("timeouts.drain", duration("1s", "360m"), "30m",
			"Longest planned stop; requests still running then are failed");

	private static final List<SettingKey<?>> ALL = List.of(VM, DATA_CENTRE, HTTP_ADDRESS, PEER_ADDRESS, PLATFORM_URL,
			PEER_KEY, PEER_KEY_FILE, OPERATOR_KEY_HASH, OPERATOR_READ_KEY_HASH, OPEN_STATUS_PAGE, SEED_PEERS, LOG_LEVEL,
			LEASE_DURATION, ADDRESS_KEEP_FOR, CONFIGURATION_STALE_AFTER, MAX_BODY_BYTES, MAX_FRAME_BYTES,
			MAX_QUEUED_BYTES, MAX_REQUESTS, RETRY_BUDGET, PLATFORM_CALL_TIMEOUT, PLATFORM_WATCH_WAIT, CONNECT_TIMEOUT,
			STREAM_SILENCE, DRAIN_LIMIT);

	private final String name;

	private final SettingType<T> type;

	private final String defaultText;

	private final boolean secret;

	private final String description;

	private SettingKey(String name, SettingType<T> type, String defaultText, boolean secret, String description) {
		this.name = name;
		this.type = type;
		this.defaultText = defaultText;
		this.secret = secret;
		this.description = description;
	}

	/**
	 * The whole table, in the order in which it is documented.
	 * @return all keys
	 */
	public static List<SettingKey<?>> all() {
		return ALL;
	}

	/**
	 * The name; a dot separates the names of a nested setting.
	 * @return for example {@code limits.maxBodyBytes}
	 */
	public String name() {
		return this.name;
	}

	public String unit() {
		return this.type.unit();
	}

	/**
	 * The default as a file would write it.
	 * @return the default, or empty if the setting is required
	 */
	public Optional<String> defaultText() {
		return Optional.ofNullable(this.defaultText);
	}

	public String description() {
		return this.description;
	}

	public String allowed() {
		return this.type.allowed();
	}

	/**
	 * Whether the value must not appear in logs, problems or dumps.
	 * @return true for keys
	 */
	public boolean secret() {
		return this.secret;
	}

	/**
	 * Reads a value.
	 * @param text what the file says
	 * @return the value
	 * @throws IllegalArgumentException if the text is not allowed
	 */
	public T parse(String text) {
		return this.type.parse(text);
	}

	@Override
	public String toString() {
		return this.name;
	}

	private static <T> SettingKey<T> required(String name, SettingType<T> type, String description) {
		return new SettingKey<>(name, type, null, false, description);
	}

	private static <T> SettingKey<T> secret(String name, SettingType<T> type, String description) {
		return new SettingKey<>(name, type, null, true, description);
	}

	private static <T> SettingKey<T> optional(String name, SettingType<T> type, String defaultText,
			String description) {
		return new SettingKey<>(name, type, defaultText, false, description);
	}

	private static SettingType<Duration> duration(String least, String most) {
		SettingType<Duration> any = SettingTypes.duration(Duration.ZERO, Duration.ofDays(1));
		return SettingTypes.duration(any.parse(least), any.parse(most));
	}

	private static SettingType<Integer> bytes(String least, String most) {
		SettingType<Integer> any = SettingTypes.bytes(0, Integer.MAX_VALUE);
		return SettingTypes.bytes(any.parse(least), any.parse(most));
	}

}
