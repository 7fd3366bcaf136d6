package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Strings;
import com.google.common.net.HostAndPort;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.SettingsException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.configuration.Change;
import org.bramleyscale.internal.configuration.ChangeResult;
import org.bramleyscale.internal.node.NodeMessages;
import org.bramleyscale.internal.node.NodePorts;
import org.bramleyscale.internal.node.NodeSlices;
import org.bramleyscale.internal.peer.InMemoryPeerHub;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.standins.platform.InMemoryObjectStore;
import org.bramleyscale.standins.platform.PlatformLimits;
import org.bramleyscale.standins.platform.PlatformOperation;
import org.bramleyscale.standins.platform.PlatformService;

/**
 * The slices of many daemons in one thread, on a manual clock and the real message codec.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class SliceFleet {

	private static final Duration LATENCY = Duration.ofMillis(1);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration STEP = Duration.ofMillis(100);

	private static final Duration LONGEST_START = Duration.ofSeconds(120);

	private static final Duration REQUEST_TIME = Duration.ofSeconds(30);

	private static final int LONGEST_ANSWER = 16;

	private static final int HASH_DIGITS = 64;

	private static final int HTTP_PORT = 8080;

	private static final int PEER_PORT = 7400;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final MessageCodec codec = new MessageCodec(NodeMessages.catalog());

	private final InMemoryPeerHub hub = new InMemoryPeerHub(this.scheduler, this.codec, LATENCY);

	private final PlatformService platform;

	private final QuickEngines engines = new QuickEngines(this.scheduler);

	private final FleetSize size;

	private final FleetDocuments documents;

	private final SplittableRandom random;

	private final Optional<MessageCensus> census;

	private final List<NodeSlices> daemons = new ArrayList<>();

	private final Map<String, NodeSlices> byAddress = new HashMap<>();

	private final RequestCounts counts = new RequestCounts();

	private int changes;

	private SliceFleet(FleetSize size, PlatformLimits limits, long seed, boolean counted) {
		this.size = size;
		this.platform = new PlatformService(this.scheduler, limits);
		this.documents = new FleetDocuments(size);
		this.random = new SplittableRandom(seed);
		this.census = counted ? Optional.of(new MessageCensus(this.codec)) : Optional.empty();
	}

	/**
	 * Starts a fleet and waits until its configuration is in force everywhere.
	 * @param size the size
	 * @param seed the seed of all chance
	 * @param counted whether messages are counted by type, which costs processor time
	 * @return the fleet
	 */
	static SliceFleet start(FleetSize size, long seed, boolean counted) {
		SliceFleet fleet = new SliceFleet(size, PlatformLimits.DEFAULT, seed, counted);
		for (int index = 0; index < size.daemons(); index++) {
			fleet.announce(index);
		}
		for (int index = 0; index < size.daemons(); index++) {
			fleet.add(index);
		}
		fleet.daemons.forEach(NodeSlices::start);
		fleet.configure();
		return fleet;
	}

	FleetSize size() {
		return this.size;
	}

	MessageCodec codec() {
		return this.codec;
	}

	MessageCensus census() {
		return this.census.orElseThrow();
	}

	RequestCounts counts() {
		return this.counts;
	}

	QuickEngines engines() {
		return this.engines;
	}

	List<NodeSlices> daemons() {
		return this.daemons;
	}

	void advance(Duration span) {
		this.scheduler.advance(span);
	}

	List<Long> bytesSent() {
		List<Long> bytes = new ArrayList<>();
		for (int index = 0; index < this.daemons.size(); index++) {
			bytes.add(this.hub.bytesSent(this.documents.vm(index)));
		}
		return bytes;
	}

	Map<PlatformOperation, Long> platformCalls() {
		return this.platform.state().calls();
	}

	/**
	 * Changes one account's weight and waits until it is in force everywhere.
	 * @return how long that took, to a tenth of a second
	 */
	Duration change() {
		this.changes++;
		long version = this.daemons.get(0).configuration().current().version();
		return awaitVersion(apply(version, "rules-change-" + this.changes));
	}

	/**
	 * Sends requests at an even pace to the entries that the address answers name.
	 * @param perDaemon requests a second for each daemon
	 * @param span how long
	 */
	void load(int perDaemon, Duration span) {
		int requests = (int) (perDaemon * this.daemons.size() * span.toSeconds());
		long pause = span.toNanos() / Math.max(1, requests);
		for (int i = 0; i < requests; i++) {
			send(this.random.nextInt(this.size.accounts()), true);
			advance(Duration.ofNanos(pause));
		}
	}

	/**
	 * Sends one request to the first entry of an account.
	 * @param account the number of the account
	 * @param repeatable whether it may run again; if not, its id is the caller's choice
	 */
	void send(int account, boolean repeatable) {
		ClientAccountId name = this.documents.account(account);
		AddressAnswer answer = this.daemons.get(0).addresses().addresses(name);
		AddressAnswer.Entry home = answer.entries().get(0);
		NodeSlices entry = this.byAddress.get(home.address());
		GenerateRequest request = new GenerateRequest(repeatable ? Optional.empty() : Optional.of(chosenId(home)), name,
				FleetDocuments.service(account), FleetDocuments.model(account), prompt(), LONGEST_ANSWER, repeatable,
				REQUEST_TIME);
		this.counts.sent();
		entry.requests().generate(request, this.counts);
	}

	private RequestId chosenId(AddressAnswer.Entry home) {
		return new RequestId(Incarnation.parse(home.requestIdPrefix()), "booking-" + this.counts.started());
	}

	private String prompt() {
		return Strings.repeat(Integer.toHexString(this.random.nextInt()), 20);
	}

	private void announce(int index) {
		this.platform.state()
			.putVm(new VmRecord(this.documents.vm(index), this.documents.dataCentre(index),
					this.documents.address(index, PEER_PORT), this.documents.address(index, HTTP_PORT), false));
	}

	private void add(int index) {
		VmId vm = this.documents.vm(index);
		PeerIdentity identity = new PeerIdentity(new Incarnation(vm, 1_790_000_000_000L + index),
				this.documents.dataCentre(index), this.documents.address(index, PEER_PORT),
				this.documents.address(index, HTTP_PORT));
		PeerNetwork joined = this.hub.join(identity.incarnation());
		PeerNetwork network = this.census.map((counting) -> counting.counted(joined)).orElse(joined);
		NodePorts ports = new NodePorts(identity, this.scheduler, this.random.split(), network,
				new InMemoryObjectStore(this.scheduler, this.platform, CALL_TIMEOUT), this.engines,
				new MetricRegistry(), List.of(), (complete) -> {
				});
		NodeSlices slices = new NodeSlices(ports, settings(index));
		this.daemons.add(slices);
		this.byAddress.put(identity.httpAddress(), slices);
	}

	private Settings settings(int index) {
		try {
			return Settings.builder()
				.set(SettingKey.VM, this.documents.vm(index))
				.set(SettingKey.DATA_CENTRE, this.documents.dataCentre(index))
				.set(SettingKey.HTTP_ADDRESS, HostAndPort.fromString(this.documents.address(index, HTTP_PORT)))
				.set(SettingKey.PEER_ADDRESS, HostAndPort.fromString(this.documents.address(index, PEER_PORT)))
				.setText(SettingKey.PLATFORM_URL, "http://10.0.0.1:7000")
				.set(SettingKey.PEER_KEY, "key-of-the-daemons")
				.set(SettingKey.OPERATOR_KEY_HASH, Strings.repeat("0", HASH_DIGITS))
				.build();
		}
		catch (SettingsException ex) {
			throw new IllegalStateException("the fleet's settings are wrong", ex);
		}
	}

	private void configure() {
		advance(Duration.ofSeconds(10));
		long registered = result(Change.of("register-1", 0, "measure", this.documents.register()));
		awaitVersion(registered);
		awaitVersion(apply(registered, "rules-first"));
	}

	private long apply(long base, String id) {
		return result(Change.of(id, base, "measure", this.documents.rules(this.changes)));
	}

	private long result(Change change) {
		CompletableFuture<ChangeResult> future = this.daemons.get(0).configuration().propose(change);
		for (Duration waited = Duration.ZERO; !future.isDone(); waited = waited.plus(STEP)) {
			requireBelow(waited, "change " + change.id() + " to be accepted");
			advance(STEP);
		}
		if (future.join() instanceof ChangeResult.Accepted accepted) {
			return accepted.version();
		}
		throw new IllegalStateException("change " + change.id() + " was not accepted: " + future.join());
	}

	private Duration awaitVersion(long version) {
		Duration waited = Duration.ZERO;
		while (!this.daemons.stream().allMatch((daemon) -> daemon.configuration().current().version() >= version)) {
			requireBelow(waited, "version " + version + " to be in force");
			advance(STEP);
			waited = waited.plus(STEP);
		}
		return waited;
	}

	private static void requireBelow(Duration waited, String what) {
		if (waited.compareTo(LONGEST_START) > 0) {
			throw new IllegalStateException("waited " + waited + " for " + what);
		}
	}

}
