package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.SettingsException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Change;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.node.NodeMessages;
import org.bramleyscale.internal.node.NodePorts;
import org.bramleyscale.internal.node.NodeSlices;
import org.bramleyscale.internal.peer.InMemoryPeerHub;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.standins.engine.EngineParameters;
import org.bramleyscale.standins.engine.InMemoryEndpoints;
import org.bramleyscale.standins.engine.InMemoryEngineClient;
import org.bramleyscale.standins.platform.InMemoryObjectStore;
import org.bramleyscale.standins.platform.PausableScheduler;
import org.bramleyscale.standins.platform.PlatformFault;
import org.bramleyscale.standins.platform.PlatformLimits;
import org.bramleyscale.standins.platform.PlatformService;

/**
 * Five daemons, four engines and two plain services in three data centres, with controls
 * to inject faults.
 *
 * <p>
 * All share one manual clock. Confined to the test's thread.
 */
final class Fleet {

	static final Duration ADDRESS_TTL = Duration.ofSeconds(2);

	static final EngineParameters ENGINE = EngineParameters.SMALL.withRoom(8, 20_000)
		.withLags(Duration.ofMillis(200), Duration.ofMillis(500), 50);

	private static final Duration LATENCY = Duration.ofMillis(1);

	private static final Duration VM_LIST_LAG = Duration.ofMillis(500);

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration BOOKING_TIME = Duration.ofMillis(100);

	private static final int BOOKING_SLOTS = 8;

	private static final int DAEMONS = 5;

	private static final Duration WARM_UP = Duration.ofSeconds(8);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SplittableRandom random;

	private final InMemoryPeerHub hub = new InMemoryPeerHub(this.scheduler, new MessageCodec(NodeMessages.catalog()),
			LATENCY);

	private final PlatformService platform = new PlatformService(this.scheduler,
			PlatformLimits.DEFAULT.withVmListLag(VM_LIST_LAG));

	private final List<PlatformFault> platformFaults = new ArrayList<>();

	private final InMemoryEndpoints endpoints;

	private final Map<EndpointId, DataCentre> dataCentres = new LinkedHashMap<>();

	private final Map<VmId, FleetDaemon> daemons = new LinkedHashMap<>();

	private final Map<VmId, DataCentre> vms = new LinkedHashMap<>();

	private final Set<DataCentre> isolated = new HashSet<>();

	private final Consumer<String> violations;

	/**
	 * Starts a fleet and advances the clock until it serves requests.
	 * @param seed the seed of all randomness
	 * @param observer is notified of the work of endpoints
	 * @param violations collects violated invariants
	 */
	Fleet(long seed, InMemoryEndpoints.Observer observer, Consumer<String> violations) {
		this.random = new SplittableRandom(seed);
		this.violations = violations;
		this.endpoints = new InMemoryEndpoints(this.scheduler, LATENCY, observer);
		startEndpoints();
		for (int i = 0; i < DAEMONS; i++) {
			this.vms.put(new VmId("entry-" + (i + 1)),
					FleetDocuments.DATA_CENTRES.get(i % FleetDocuments.DATA_CENTRES.size()));
		}
		this.vms.forEach((vm, dataCentre) -> this.platform.state()
			.putVm(new VmRecord(vm, dataCentre, peerAddress(vm), httpAddress(vm), false)));
		this.vms.keySet().forEach(this::startDaemon);
		this.scheduler.advance(Duration.ofSeconds(2));
		configure();
		this.scheduler.advance(WARM_UP);
	}

	private void startEndpoints() {
		for (EndpointEntry entry : FleetDocuments.endpoints()) {
			this.dataCentres.put(entry.name(), entry.dataCentre());
			if (entry.models().isEmpty()) {
				this.endpoints.startService(entry.name(), BOOKING_TIME, BOOKING_SLOTS);
			}
			else {
				this.endpoints.startEngine(entry.name(), ENGINE);
			}
		}
	}

	private void configure() {
		List<VmEntry> entries = this.vms.entrySet()
			.stream()
			.map((vm) -> FleetDocuments.vm(vm.getKey(), vm.getValue()))
			.toList();
		Change change = new Change("first-configuration", 0, "operator", Optional.of(FleetDocuments.register(entries)),
				Optional.of(FleetDocuments.rules(1)), false);
		this.daemons.values().iterator().next().slices().configuration().propose(change);
	}

	ManualScheduler scheduler() {
		return this.scheduler;
	}

	SplittableRandom random() {
		return this.random;
	}

	InMemoryEndpoints endpoints() {
		return this.endpoints;
	}

	List<FleetDaemon> daemons() {
		return List.copyOf(this.daemons.values());
	}

	Optional<FleetDaemon> daemonAt(String httpAddress) {
		return this.daemons.entrySet()
			.stream()
			.filter((entry) -> httpAddress(entry.getKey()).equals(httpAddress) && entry.getValue().alive())
			.map(Map.Entry::getValue)
			.findFirst();
	}

	FleetDaemon daemon(int index) {
		return daemons().get(index);
	}

	/**
	 * KV-cache memory in use and reserved on running engines.
	 * @return tokens
	 */
	long kvUsed() {
		return this.endpoints.engineNames()
			.stream()
			.filter((name) -> !this.endpoints.dead(name))
			.mapToLong((name) -> this.endpoints.engine(name).kvUsed())
			.sum();
	}

	private void startDaemon(VmId vm) {
		PausableScheduler daemonScheduler = new PausableScheduler(this.scheduler);
		Incarnation self = new Incarnation(vm, this.scheduler.wallTime().toEpochMilli());
		InMemoryObjectStore store = new InMemoryObjectStore(daemonScheduler, this.platform, PLATFORM_TIMEOUT);
		FleetDaemon daemon = new FleetDaemon(this.scheduler, daemonScheduler, self, store);
		DataCentre dataCentre = this.vms.get(vm);
		InMemoryEngineClient engines = new InMemoryEngineClient(daemonScheduler, this.endpoints,
				(endpoint) -> connected(dataCentre, this.dataCentres.get(endpoint)));
		PeerIdentity identity = new PeerIdentity(self, dataCentre, peerAddress(vm), httpAddress(vm));
		NodePorts ports = new NodePorts(identity, daemonScheduler, this.random.split(), this.hub.join(self), store,
				engines, new MetricRegistry(), List.of(), (complete) -> onDaemonStopped(daemon, complete));
		this.daemons.put(vm, daemon);
		daemon.run(new NodeSlices(ports, settings(vm)));
		applyPartitions();
	}

	private void onDaemonStopped(FleetDaemon daemon, boolean complete) {
		if (!complete || daemon.openCalls() > 0) {
			this.violations.accept("the planned stop of " + daemon + " interrupted " + daemon.openCalls() + " calls");
		}
		kill(daemon);
		VmId vm = daemon.incarnation().vm();
		this.scheduler.schedule(Duration.ofSeconds(1), () -> restart(vm));
	}

	/**
	 * Starts a new incarnation if none is running.
	 * @param vm the daemon's VM
	 */
	void restart(VmId vm) {
		if (!this.daemons.get(vm).alive()) {
			startDaemon(vm);
		}
	}

	void kill(FleetDaemon daemon) {
		if (daemon.alive()) {
			daemon.kill();
			this.hub.resume(daemon.incarnation().vm());
			this.hub.kill(daemon.incarnation().vm());
		}
	}

	void pause(FleetDaemon daemon) {
		if (daemon.alive()) {
			daemon.pause();
			this.hub.pause(daemon.incarnation().vm());
		}
	}

	void resume(FleetDaemon daemon) {
		if (daemon.alive()) {
			this.hub.resume(daemon.incarnation().vm());
			daemon.resume();
		}
	}

	void dropMessages(VmId from, VmId to) {
		this.hub.silence(from, to);
	}

	void heal(VmId left, VmId right) {
		this.hub.heal(left, right);
		applyPartitions();
	}

	/**
	 * Partitions a data centre from the others and from the platform, or ends the
	 * partition.
	 * @param dataCentre the data centre
	 * @param partitioned whether it is partitioned
	 */
	void isolate(DataCentre dataCentre, boolean partitioned) {
		if (partitioned) {
			this.isolated.add(dataCentre);
		}
		else {
			this.isolated.remove(dataCentre);
			this.vms.keySet()
				.forEach((left) -> this.vms.keySet()
					.stream()
					.filter((right) -> !left.equals(right))
					.forEach((right) -> this.hub.heal(left, right)));
		}
		applyPartitions();
	}

	private void applyPartitions() {
		this.vms.forEach((left, leftDataCentre) -> this.vms.forEach((right, rightDataCentre) -> {
			if (!connected(leftDataCentre, rightDataCentre)) {
				this.hub.disconnect(left, right);
			}
		}));
		this.daemons.forEach((vm, daemon) -> daemon.store().setPartitioned(this.isolated.contains(this.vms.get(vm))));
	}

	private boolean connected(DataCentre left, DataCentre right) {
		return left.equals(right) || !(this.isolated.contains(left) || this.isolated.contains(right));
	}

	void platformFault(PlatformFault fault, boolean on) {
		if (on) {
			this.platformFaults.add(fault);
		}
		else {
			this.platformFaults.remove(fault);
		}
		this.platform.faults().clear();
		this.platformFaults.forEach(this.platform.faults()::inject);
	}

	private Settings settings(VmId vm) {
		try {
			return Settings.builder()
				.set(SettingKey.VM, vm)
				.set(SettingKey.DATA_CENTRE, this.vms.get(vm))
				.set(SettingKey.HTTP_ADDRESS, HostAndPort.fromString(httpAddress(vm)))
				.set(SettingKey.PEER_ADDRESS, HostAndPort.fromString(peerAddress(vm)))
				.setText(SettingKey.PLATFORM_URL, "http://10.0.0.1:80")
				.set(SettingKey.PEER_KEY, "key-of-the-daemons-of-the-fleet")
				.set(SettingKey.OPERATOR_KEY_HASH, "0".repeat(64))
				.set(SettingKey.ADDRESS_KEEP_FOR, ADDRESS_TTL)
				.set(SettingKey.STREAM_SILENCE, Duration.ofSeconds(1))
				.build();
		}
		catch (SettingsException ex) {
			throw new IllegalStateException(ex.problems().toString(), ex);
		}
	}

	private static String peerAddress(VmId vm) {
		return "10.0.3." + vm.value().substring("entry-".length()) + ":7000";
	}

	private static String httpAddress(VmId vm) {
		return "10.0.3." + vm.value().substring("entry-".length()) + ":80";
	}

}
