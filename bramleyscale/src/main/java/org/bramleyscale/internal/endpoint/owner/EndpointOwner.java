package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
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
import org.bramleyscale.internal.endpoint.HeldMemory;
import org.bramleyscale.internal.endpoint.OwnerAnnounced;
import org.bramleyscale.internal.endpoint.Redirect;
import org.bramleyscale.internal.endpoint.Release;
import org.bramleyscale.internal.endpoint.Renew;
import org.bramleyscale.internal.endpoint.Renewed;
import org.bramleyscale.internal.endpoint.Reserve;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.endpoint.ShardMap;
import org.bramleyscale.internal.lease.Leases;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

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

	private static final Duration TICK = Duration.ofMillis(250);

	private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(30);

	/** What a report costs on the wire, both ways, with HTTP headers. */
	private static final int REPORT_BYTES = 500;

	private static final int REPORT_BYTES_PER_SECOND = 1_500;

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EngineClient engines;

	private final EndpointSettings settings;

	private final MetricRegistry metrics;

	private final ShardLeases owned;

	private final Map<EndpointId, OwnedEndpoint> endpoints = new TreeMap<>(Comparator.comparing(EndpointId::value));

	private ShardMap shards;

	private Cancellable ticking;

	private Cancellable announcing;

	private boolean stopped;

	private EndpointOwner(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.membership = builder.membership;
		this.peers = builder.peers;
		this.engines = builder.engines;
		this.settings = builder.settings;
		this.metrics = builder.metrics;
		this.owned = new ShardLeases(builder.leases, this.membership, this.peers, this::settledAt, new Opening());
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Begins to seek shards and to answer demands.
	 */
	public void start() {
		this.peers.listen(Demand.class, this::demanded);
		this.peers.listen(OwnerAnnounced.class, this.owned::announced);
		this.peers.listen(Reserve.class, this::reserve);
		this.peers.listen(Renew.class, this::renew);
		this.peers.listen(Release.class, this::release);
		this.configuration.onChange((version) -> reassign());
		this.membership.onChange(this::reassign);
		this.metrics.gauge("endpoint.owner.endpoints", () -> this.endpoints::size);
		this.metrics.gauge("endpoint.owner.shards", () -> () -> this.owned.owned().size());
		this.ticking = this.scheduler.repeat(TICK, this::tick);
		this.announcing = this.scheduler.repeat(ANNOUNCE_PERIOD, this.owned::announceAgain);
		reassign();
	}

	/**
	 * Gives all shards back.
	 */
	public void stop() {
		this.stopped = true;
		this.ticking.cancel();
		this.announcing.cancel();
		this.owned.seek(Map.of());
	}

	@Override
	public String name() {
		return "endpoint-owner";
	}

	@Override
	public Object dump() {
		return OwnerDump.of(this.owned.owned(), this.endpoints.values(), this.scheduler.nanos());
	}

	private void reassign() {
		if (this.stopped) {
			return;
		}
		Configuration current = this.configuration.current();
		this.shards = new ShardMap(current.register(), this.membership.eligible());
		this.owned.seek(assigned(current));
		this.endpoints.values().removeIf((endpoint) -> current.endpoint(endpoint.entry().name()).isEmpty());
		List.copyOf(this.owned.owned()).forEach(this::open);
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

	private long settledAt(Duration more) {
		int endpointCount = this.configuration.current().register().endpoints().size();
		long lifetime = this.settings.longestLifetimeMillis(endpointCount, this.membership.members().size())
				* 1_000_000L;
		return this.scheduler.nanos() + lifetime + more.toNanos();
	}

	private void open(OwnedShard shard) {
		for (EndpointEntry entry : this.configuration.current().register().endpoints()) {
			if (this.shards.shard(entry).equals(shard.shard())) {
				OwnedEndpoint endpoint = this.endpoints.computeIfAbsent(entry.name(), (name) -> open(shard, entry));
				endpoint.update(entry);
				advance(endpoint);
			}
		}
	}

	private OwnedEndpoint open(OwnedShard shard, EndpointEntry entry) {
		Amount floor = new Amount(1, this.settings.floorKvTokens());
		EndpointAccount account = new EndpointAccount(shard.epoch(), floor, shard.settledAt());
		count(account);
		HoldBook holds = new HoldBook(entry, this.scheduler, this.engines, account, () -> this.owned.held(shard),
				this.peers::send);
		OwnedEndpoint endpoint = new OwnedEndpoint(entry, shard, account, holds, this.scheduler, this.engines);
		endpoint.poll(this.settings.reportPeriod());
		return endpoint;
	}

	private void demanded(Incarnation from, Demand demand) {
		int lifetimeMillis = this.settings.lifetimeMillis(demand.periodMillis());
		List<GrantItem> grants = new ArrayList<>();
		Set<OwnedEndpoint> touched = new HashSet<>();
		for (DemandItem item : demand.items()) {
			OwnedEndpoint endpoint = current(item);
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
		touched.forEach(this::advance);
	}

	private OwnedEndpoint current(DemandItem item) {
		OwnedEndpoint endpoint = this.endpoints.get(item.endpoint());
		if (endpoint != null && endpoint.shard().shard().code() == item.shard()) {
			this.owned.superseded(endpoint.shard().shard(), item.epoch());
		}
		return this.endpoints.get(item.endpoint());
	}

	private void reserve(Incarnation from, Reserve message) {
		OwnedEndpoint endpoint = this.endpoints.get(message.endpoint());
		if (endpoint == null) {
			redirect(from, message.endpoint());
			return;
		}
		endpoint.holds().reserve(from, message.hold(), message.kvTokens(), endpoint.leaving());
		advance(endpoint);
	}

	private void renew(Incarnation from, Renew message) {
		List<String> renewed = new ArrayList<>();
		for (HeldMemory held : message.holds()) {
			OwnedEndpoint endpoint = this.endpoints.get(held.endpoint());
			if (endpoint == null) {
				redirect(from, held.endpoint());
			}
			else if (endpoint.holds().renew(from, held.hold(), held.kvTokens())) {
				renewed.add(held.hold());
			}
		}
		if (!renewed.isEmpty()) {
			this.peers.send(from.vm(), new Renewed(renewed));
		}
	}

	private void release(Incarnation from, Release message) {
		OwnedEndpoint endpoint = this.endpoints.get(message.endpoint());
		if (endpoint != null) {
			endpoint.holds().release(message.hold());
			advance(endpoint);
		}
	}

	private void redirect(Incarnation to, EndpointId endpoint) {
		Optional<EndpointEntry> entry = this.configuration.current().endpoint(endpoint);
		if (entry.isEmpty()) {
			return;
		}
		this.owned.other(this.shards.shard(entry.get()))
			.filter((owner) -> !owner.vm().equals(this.membership.self().vm()))
			.ifPresent((owner) -> this.peers.send(to.vm(), new Redirect(endpoint, owner.vm(), owner.epoch())));
	}

	private void advance(OwnedEndpoint endpoint) {
		for (OwnedEndpoint.Push push : endpoint.advance()) {
			this.peers.send(push.to().vm(), push.grant());
		}
	}

	private void tick() {
		long now = this.scheduler.nanos();
		int used = (int) this.endpoints.values().stream().filter(OwnedEndpoint::used).count();
		Duration busy = reportPeriod(used);
		for (OwnedEndpoint endpoint : this.endpoints.values()) {
			count(endpoint.account());
			forgetDead(endpoint, now);
			endpoint.account().prune(now);
			endpoint.poll(endpoint.used() ? busy : this.settings.reportIdlePeriod());
			endpoint.update(endpoint.entry());
			advance(endpoint);
		}
	}

	private void count(EndpointAccount account) {
		int sharing = Math.max(1, this.membership.eligible().size());
		int live = (int) this.membership.members().stream().filter(EndpointOwner::mayHold).count();
		account.members(sharing, live);
	}

	private Duration reportPeriod(int used) {
		Duration affordable = Duration.ofMillis(1_000L * used * REPORT_BYTES / REPORT_BYTES_PER_SECOND);
		return (affordable.compareTo(this.settings.reportPeriod()) > 0) ? affordable : this.settings.reportPeriod();
	}

	private void forgetDead(OwnedEndpoint endpoint, long now) {
		for (EntryAccount entry : List.copyOf(endpoint.account().entries().all())) {
			VmId vm = entry.entry().vm();
			if (this.membership.member(vm).filter(EndpointOwner::mayHold).isEmpty()) {
				endpoint.account().entries().died(vm, now);
			}
		}
	}

	private static boolean mayHold(Member member) {
		return member.state() != Member.State.DEAD;
	}

	/**
	 * Opens and closes endpoints with their shards.
	 */
	private final class Opening implements ShardLeases.Listener {

		@Override
		public void opened(OwnedShard shard) {
			open(shard);
		}

		@Override
		public void closed(OwnedShard shard) {
			EndpointOwner.this.endpoints.values().removeIf((endpoint) -> endpoint.shard().equals(shard));
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
