package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.Demand;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.Grant;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.OwnerAnnounced;
import org.bramleyscale.internal.endpoint.Redirect;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.endpoint.ShardMap;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.lease.Leases;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Owns the shards of endpoints that rendezvous hashing and a lease give to this daemon,
 * and splits each endpoint's capacity among the entries that use it.
 *
 * <p>
 * Invariant: at most one owner of a shard holds its lease. An owner whose lease lapses,
 * for example because the platform is down, goes on granting until it hears of a greater
 * epoch, since grants are not orders and entries ignore those of an older epoch. Confined
 * to the scheduler's thread.
 */
public final class EndpointOwner implements StateDump {

	private static final Logger logger = Logger.getLogger(EndpointOwner.class);

	private static final Duration TICK = Duration.ofMillis(250);

	/** While configurations spread, two daemons may own an endpoint by different maps. */
	private static final Duration CONFIGURATION_SPREAD = Duration.ofSeconds(5);

	/** Above so many members, a take-over is announced only where it may matter. */
	private static final int ANNOUNCE_TO_ALL = 64;

	/** No former owner can have granted anything before this epoch. */
	private static final long FIRST_EPOCH = 1;

	/** What a report costs on the wire, both ways, with HTTP headers. */
	private static final int REPORT_BYTES = 500;

	private static final int REPORT_BYTES_PER_SECOND = 1_500;

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final Leases leases;

	private final PeerNetwork peers;

	private final EngineClient engines;

	private final EndpointSettings settings;

	private final MetricRegistry metrics;

	private final Map<String, Shard> sought = new HashMap<>();

	private final Map<String, OwnedShard> owned = new HashMap<>();

	private final Map<String, OwnerAnnounced> announced = new HashMap<>();

	private final Map<String, VmId> announcers = new HashMap<>();

	private final Map<EndpointId, OwnedEndpoint> endpoints = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

	private ShardMap shards;

	private Cancellable ticking;

	private EndpointOwner(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.membership = builder.membership;
		this.leases = builder.leases;
		this.peers = builder.peers;
		this.engines = builder.engines;
		this.settings = builder.settings;
		this.metrics = builder.metrics;
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Begins to seek shards and to answer demands.
	 */
	public void start() {
		this.peers.listen(Demand.class, this::demanded);
		this.peers.listen(OwnerAnnounced.class, this::announced);
		this.configuration.onChange((version) -> reassign());
		this.membership.onChange(this::reassign);
		this.metrics.gauge("endpoint.owner.endpoints", () -> this.endpoints::size);
		this.metrics.gauge("endpoint.owner.shards", () -> this.owned::size);
		this.ticking = this.scheduler.repeat(TICK, this::tick);
		reassign();
	}

	/**
	 * Gives all shards back.
	 */
	public void stop() {
		this.ticking.cancel();
		for (String lease : List.copyOf(this.sought.keySet())) {
			abandon(lease);
		}
	}

	@Override
	public String name() {
		return "endpoint-owner";
	}

	@Override
	public Object dump() {
		return OwnerDump.of(this.owned.values(), this.endpoints.values(), this.scheduler.nanos());
	}

	private void reassign() {
		Configuration current = this.configuration.current();
		this.shards = new ShardMap(current.register(), this.membership.eligible());
		Map<String, Shard> mine = assigned(current);
		for (String lease : List.copyOf(this.sought.keySet())) {
			if (!mine.containsKey(lease)) {
				abandon(lease);
			}
		}
		mine.forEach(this::seek);
		this.owned.values().forEach((shard) -> open(shard, current));
		dropStrangers(current);
	}

	private Map<String, Shard> assigned(Configuration current) {
		Map<String, Shard> mine = new HashMap<>();
		VmId self = this.membership.self().vm();
		for (EndpointEntry endpoint : current.register().endpoints()) {
			Shard shard = this.shards.shard(endpoint);
			if (this.shards.owner(shard).filter(self::equals).isPresent()) {
				mine.put(shard.leaseName(), shard);
			}
		}
		return mine;
	}

	private void seek(String lease, Shard shard) {
		Shard before = this.sought.put(lease, shard);
		if (before == null) {
			this.leases.seek(lease, new ShardListener(lease));
		}
		else if (!before.equals(shard) && this.owned.containsKey(lease)) {
			// The shard's contents changed: former owners of what is new here may go on
			// granting until the configuration has reached them and their entries.
			OwnedShard shrunk = this.owned.get(lease);
			this.owned.put(lease, new OwnedShard(shard, shrunk.epoch(), settledAt(CONFIGURATION_SPREAD)));
		}
	}

	private void abandon(String lease) {
		this.sought.remove(lease);
		drop(lease);
		this.leases.release(lease);
	}

	private void drop(String lease) {
		if (this.owned.remove(lease) != null) {
			logger.infof("Stopped granting for %s", lease);
			dropStrangers(this.configuration.current());
		}
	}

	private void dropStrangers(Configuration current) {
		this.endpoints.values().removeIf((endpoint) -> !owns(current, endpoint));
	}

	private boolean owns(Configuration current, OwnedEndpoint endpoint) {
		Optional<EndpointEntry> entry = current.endpoint(endpoint.entry().name());
		if (entry.isEmpty()) {
			return false;
		}
		OwnedShard shard = this.owned.get(this.shards.shard(entry.get()).leaseName());
		return shard != null && endpoint.belongsTo(shard);
	}

	private void taken(String lease, long epoch) {
		Shard shard = this.sought.get(lease);
		if (shard == null) {
			return;
		}
		long settledAt = (epoch <= FIRST_EPOCH) ? this.scheduler.nanos() : settledAt(Duration.ZERO);
		OwnedShard now = new OwnedShard(shard, epoch, settledAt);
		this.owned.put(lease, now);
		this.announced.remove(lease);
		logger.infof("Granting for %s with epoch %d", lease, epoch);
		dropStrangers(this.configuration.current());
		open(now, this.configuration.current());
		announce(now);
	}

	private long settledAt(Duration more) {
		int endpointCount = this.configuration.current().register().endpoints().size();
		long lifetime = this.settings.longestLifetimeMillis(endpointCount) * 1_000_000L;
		return this.scheduler.nanos() + lifetime + more.toNanos();
	}

	private void open(OwnedShard shard, Configuration current) {
		for (EndpointEntry entry : current.register().endpoints()) {
			if (this.shards.shard(entry).equals(shard.shard())) {
				OwnedEndpoint endpoint = this.endpoints.computeIfAbsent(entry.name(), (name) -> open(shard, entry));
				endpoint.update(entry);
				push(endpoint);
			}
		}
	}

	private OwnedEndpoint open(OwnedShard shard, EndpointEntry entry) {
		Amount floor = new Amount(1, this.settings.floorKvTokens());
		EndpointAccount account = new EndpointAccount(shard.epoch(), floor, shard.settledAt());
		OwnedEndpoint endpoint = new OwnedEndpoint(entry, shard, account, this.scheduler, this.engines);
		endpoint.poll(this.settings.reportPeriod());
		return endpoint;
	}

	private void announce(OwnedShard shard) {
		OwnerAnnounced message = new OwnerAnnounced(shard.shard().dataCentre(), shard.shard().code(), shard.epoch());
		Set<VmId> receivers = new HashSet<>(this.peers.connected());
		boolean all = this.membership.members().size() <= ANNOUNCE_TO_ALL;
		for (Member member : this.membership.members()) {
			if (all || member.dataCentre().equals(shard.shard().dataCentre())) {
				receivers.add(member.vm());
			}
		}
		receivers.forEach((receiver) -> this.peers.send(receiver, message));
	}

	private void announced(Incarnation from, OwnerAnnounced message) {
		String lease = leaseName(message.dataCentre(), message.shard());
		OwnerAnnounced known = this.announced.get(lease);
		if (known == null || known.epoch() <= message.epoch()) {
			this.announced.put(lease, message);
			this.announcers.put(lease, from.vm());
		}
		superseded(lease, message.epoch());
	}

	private void superseded(String lease, long epoch) {
		OwnedShard mine = this.owned.get(lease);
		if (mine != null && mine.epoch() < epoch) {
			drop(lease);
		}
	}

	private void demanded(Incarnation from, Demand demand) {
		int lifetimeMillis = this.settings.lifetimeMillis(demand.periodMillis());
		List<GrantItem> grants = new ArrayList<>();
		Set<OwnedEndpoint> touched = new HashSet<>();
		for (DemandItem item : demand.items()) {
			OwnedEndpoint endpoint = this.endpoints.get(item.endpoint());
			if (endpoint == null) {
				redirect(from, item.endpoint());
				continue;
			}
			GrantItem grant = endpoint.demanded(from, demand, item, lifetimeMillis);
			touched.add(endpoint);
			if (grant != null) {
				grants.add(grant);
			}
		}
		if (!grants.isEmpty()) {
			this.peers.send(from.vm(), new Grant(demand.sentMillis(), lifetimeMillis, grants));
		}
		touched.forEach(this::push);
	}

	private void redirect(Incarnation to, EndpointId endpoint) {
		Optional<EndpointEntry> entry = this.configuration.current().endpoint(endpoint);
		if (entry.isEmpty()) {
			return;
		}
		String lease = this.shards.shard(entry.get()).leaseName();
		VmId owner = this.announcers.get(lease);
		if (owner != null && !owner.equals(this.membership.self().vm())) {
			this.peers.send(to.vm(), new Redirect(endpoint, owner, this.announced.get(lease).epoch()));
		}
	}

	private void push(OwnedEndpoint endpoint) {
		for (OwnedEndpoint.Push push : endpoint.pushes()) {
			this.peers.send(push.to().vm(), push.grant());
		}
	}

	private void tick() {
		long now = this.scheduler.nanos();
		int used = (int) this.endpoints.values().stream().filter(OwnedEndpoint::used).count();
		Duration busy = reportPeriod(used);
		int sharing = Math.max(1, this.membership.eligible().size());
		int live = (int) this.membership.members().stream().filter(EndpointOwner::mayHold).count();
		for (OwnedEndpoint endpoint : this.endpoints.values()) {
			endpoint.account().members(sharing, live);
			forgetDead(endpoint, now);
			endpoint.account().prune(now);
			endpoint.poll(endpoint.used() ? busy : this.settings.reportIdlePeriod());
			endpoint.update(endpoint.entry());
			push(endpoint);
		}
	}

	private Duration reportPeriod(int used) {
		Duration affordable = Duration.ofMillis(1_000L * used * REPORT_BYTES / REPORT_BYTES_PER_SECOND);
		return (affordable.compareTo(this.settings.reportPeriod()) > 0) ? affordable : this.settings.reportPeriod();
	}

	private void forgetDead(OwnedEndpoint endpoint, long now) {
		for (EntryAccount entry : List.copyOf(endpoint.account().entries())) {
			VmId vm = entry.entry().vm();
			if (this.membership.member(vm).filter(EndpointOwner::mayHold).isEmpty()) {
				endpoint.account().died(vm, now);
			}
		}
	}

	private static boolean mayHold(Member member) {
		return member.state() != Member.State.DEAD;
	}

	private static String leaseName(DataCentre dataCentre, int code) {
		return Shard.of(dataCentre, code).leaseName();
	}

	/**
	 * Told of the lease of one shard.
	 */
	private final class ShardListener implements Leases.LeaseListener {

		private final String lease;

		private ShardListener(String lease) {
			this.lease = lease;
		}

		@Override
		public void taken(Lease taken) {
			EndpointOwner.this.taken(this.lease, taken.number());
		}

		@Override
		public void lost(Lease lost) {
			logger.infof("Lease %s lapsed; granting goes on until a greater epoch is heard of", this.lease);
		}

	}

	/**
	 * Collects what the owner needs; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private Scheduler scheduler;

		private ConfigurationSource configuration;

		private MembershipView membership;

		private Leases leases;

		private PeerNetwork peers;

		private EngineClient engines;

		private EndpointSettings settings = EndpointSettings.defaults();

		private MetricRegistry metrics = new MetricRegistry();

		private Builder() {
		}

		public Builder scheduler(Scheduler value) {
			this.scheduler = value;
			return this;
		}

		public Builder configuration(ConfigurationSource value) {
			this.configuration = value;
			return this;
		}

		public Builder membership(MembershipView value) {
			this.membership = value;
			return this;
		}

		public Builder leases(Leases value) {
			this.leases = value;
			return this;
		}

		/**
		 * Sets the peers; the network must also deliver to this daemon itself.
		 * @param value the network
		 * @return this builder
		 */
		public Builder peers(PeerNetwork value) {
			this.peers = value;
			return this;
		}

		public Builder engines(EngineClient value) {
			this.engines = value;
			return this;
		}

		public Builder settings(EndpointSettings value) {
			this.settings = value;
			return this;
		}

		public Builder metrics(MetricRegistry value) {
			this.metrics = value;
			return this;
		}

		public EndpointOwner build() {
			return new EndpointOwner(this);
		}

	}

}
