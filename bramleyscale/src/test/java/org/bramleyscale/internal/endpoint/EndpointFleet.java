package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.endpoint.owner.EndpointOwner;
import org.bramleyscale.internal.endpoint.pool.GrantedEndpointPool;
import org.bramleyscale.internal.endpoint.reservation.GroupReservations;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * The endpoint pools, owners and reservations of a few daemons on one manual clock, with
 * fakes of network, membership, leases and engines.
 */
public final class EndpointFleet {

	public static final ServiceName SERVICE = new ServiceName("quotes");

	public static final ModelName MODEL = new ModelName("m");

	public static final DataCentre DATA_CENTRE = new DataCentre("rawang");

	public final ManualScheduler scheduler = new ManualScheduler();

	public final FakeEngines engines = new FakeEngines(this.scheduler);

	private final FakeNetwork network = new FakeNetwork(this.scheduler);

	private final FakeMembership membership = new FakeMembership();

	private final FakeLeases leases = new FakeLeases(this.scheduler);

	private final Map<String, Daemon> daemons = new LinkedHashMap<>();

	private final List<String> endpoints;

	private final List<String> vms;

	private final EndpointSettings settings;

	private long version = 1;

	public EndpointFleet(int daemonCount, String... endpoints) {
		this(EndpointSettings.defaults(), daemonCount, endpoints);
	}

	public EndpointFleet(EndpointSettings settings, int daemonCount, String... endpoints) {
		this.settings = settings;
		this.endpoints = List.of(endpoints);
		this.vms = new ArrayList<>();
		for (int i = 1; i <= daemonCount; i++) {
			this.vms.add("vm-" + i);
		}
		this.vms.forEach((vm) -> this.membership.put(incarnation(vm, 1), DATA_CENTRE, Member.State.ALIVE));
		this.vms.forEach((vm) -> start(vm, 1));
		advance(Duration.ofMillis(50));
	}

	public static EndpointId id(String endpoint) {
		return new EndpointId(endpoint);
	}

	public void advance(Duration duration) {
		this.scheduler.advance(duration);
	}

	public Daemon daemon(String vm) {
		return this.daemons.get(vm);
	}

	public List<Daemon> daemons() {
		return List.copyOf(this.daemons.values());
	}

	public FakeNetwork network() {
		return this.network;
	}

	public FakeLeases leases() {
		return this.leases;
	}

	/** Returns the daemon that holds the lease of an endpoint's shard, or "" if none. */
	public String owner(String endpoint) {
		ShardMap shards = new ShardMap(configuration(Set.of()).register(),
				this.daemons.values().iterator().next().membership.eligible());
		String lease = shards.shard(entry(endpoint, false)).leaseName();
		return this.leases.holder(lease).map(VmId::value).orElse("");
	}

	/** Crashes a daemon without any message; the others see it as dead at once. */
	public void kill(String vm) {
		this.network.leave(new VmId(vm));
		Daemon daemon = this.daemons.remove(vm);
		daemon.pool.stop();
		daemon.reservations.stop();
		daemon.killed = true;
		this.leases.removeVm(new VmId(vm));
		daemon.owner.stop();
		this.membership.set(new VmId(vm), Member.State.DEAD);
	}

	public void setState(String vm, Member.State state) {
		this.membership.set(new VmId(vm), state);
	}

	/**
	 * Sets one daemon's configuration to one in which the given endpoints are leaving.
	 */
	public void configureLeaving(String vm, Set<String> leaving) {
		this.version++;
		this.daemons.get(vm).configuration.set(configuration(leaving));
	}

	public EndpointEntry entry(String endpoint, boolean leaving) {
		return new EndpointEntry(id(endpoint), SERVICE, DATA_CENTRE, "127.0.0.1:1", List.of(MODEL), true, leaving);
	}

	private void start(String vm, long start) {
		this.daemons.put(vm, new Daemon(incarnation(vm, start)));
	}

	private static Incarnation incarnation(String vm, long start) {
		return new Incarnation(new VmId(vm), start);
	}

	private Configuration configuration(Set<String> leaving) {
		List<VmEntry> vmEntries = this.vms.stream().map((vm) -> new VmEntry(new VmId(vm), DATA_CENTRE)).toList();
		List<EndpointEntry> entries = this.endpoints.stream()
			.map((endpoint) -> entry(endpoint, leaving.contains(endpoint)))
			.toList();
		ServiceEntry service = new ServiceEntry(SERVICE, ServiceEntry.Kind.MODEL, Duration.ofSeconds(60), true);
		Register register = new Register(vmEntries, List.of(new ModelEntry(MODEL, 1_000_000)), List.of(service),
				entries);
		return new Configuration(this.version, register, Rules.EMPTY);
	}

	/**
	 * The components of one daemon.
	 */
	public final class Daemon {

		public final Incarnation incarnation;

		public final MembershipView membership;

		public final FakeConfiguration configuration = new FakeConfiguration(configuration(Set.of()));

		public final LoopbackPeerNetwork peers;

		public final GrantedEndpointPool pool;

		public final EndpointOwner owner;

		public final GroupReservations reservations;

		private boolean killed;

		private Daemon(Incarnation incarnation) {
			this.incarnation = incarnation;
			this.membership = EndpointFleet.this.membership.view(incarnation, DATA_CENTRE);
			this.peers = new LoopbackPeerNetwork(EndpointFleet.this.network.join(incarnation),
					EndpointFleet.this.scheduler, incarnation);
			this.pool = GrantedEndpointPool.builder()
				.scheduler(EndpointFleet.this.scheduler)
				.configuration(this.configuration)
				.membership(this.membership)
				.peers(this.peers)
				.settings(EndpointFleet.this.settings)
				.build();
			this.owner = EndpointOwner.builder()
				.scheduler(EndpointFleet.this.scheduler)
				.configuration(this.configuration)
				.membership(this.membership)
				.leases(EndpointFleet.this.leases.of(incarnation.vm()))
				.peers(this.peers)
				.settings(EndpointFleet.this.settings)
				.engines(EndpointFleet.this.engines)
				.build();
			this.reservations = new GroupReservations(EndpointFleet.this.scheduler, this.pool, this.peers,
					EndpointFleet.this.engines, incarnation, new MetricRegistry());
			this.owner.start();
			this.reservations.start();
			this.pool.start();
		}

		public boolean killed() {
			return this.killed;
		}

		/**
		 * Starts a request that uses a permit and the engine for some time.
		 * @return false if the pool had no permit
		 */
		public boolean tryRun(String endpoint, long kvTokens, Duration duration) {
			FakeEngines.Engine engine = EndpointFleet.this.engines.engine(endpoint);
			Optional<Permit> permit = this.pool.acquire(id(endpoint), kvTokens, (int) kvTokens);
			permit.ifPresent((acquired) -> {
				long boot = engine.boot;
				engine.running++;
				engine.kvUsed += kvTokens;
				EndpointFleet.this.scheduler.schedule(duration, () -> {
					engine.requestEnded(boot, kvTokens);
					acquired.close();
				});
			});
			return permit.isPresent();
		}

		/**
		 * Acquires a permit that is never closed.
		 * @return false if the pool had no permit
		 */
		public boolean tryAcquire(String endpoint, long kvTokens) {
			return this.pool.acquire(id(endpoint), kvTokens, (int) kvTokens).isPresent();
		}

		/** Returns the slots that this daemon's pool has left for an endpoint. */
		public int availableSlots(String endpoint) {
			return this.pool.candidates(SERVICE, MODEL)
				.stream()
				.filter((candidate) -> candidate.endpoint().equals(id(endpoint)))
				.mapToInt((candidate) -> candidate.grantSlots())
				.findFirst()
				.orElse(0);
		}

	}

}
