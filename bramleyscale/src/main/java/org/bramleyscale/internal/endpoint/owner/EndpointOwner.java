package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.OwnerAnnounced;
import org.bramleyscale.internal.endpoint.Redirect;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.endpoint.ShardMap;
import org.bramleyscale.internal.lease.Leases;
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

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final ShardLeases owned;

	private final OwnedEndpoints endpoints;

	private final EntryMessages messages;

	private ShardMap shards;

	private Cancellable ticking;

	private Cancellable announcing;

	private boolean stopped;

	private EndpointOwner(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.membership = builder.membership;
		this.peers = builder.peers;
		this.settings = builder.settings;
		this.owned = new ShardLeases(builder.leases, this.membership, this.peers, this::settledAt, new Opening());
		this.endpoints = new OwnedEndpoints(builder, this.owned::held);
		this.messages = new EntryMessages(this.endpoints, this.owned, this.peers, this.settings, this::redirect,
				builder.metrics.counter("endpoint.owner.demands"));
		builder.metrics.gauge("endpoint.owner.shards", () -> () -> this.owned.owned().size());
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Begins to seek shards and to answer demands.
	 */
	public void start() {
		this.messages.listen();
		this.peers.listen(OwnerAnnounced.class, this.owned::announced);
		this.configuration.onChange((version) -> reassign());
		this.membership.onChange(this::reassign);
		this.ticking = this.scheduler.repeat(TICK, this.endpoints::tick);
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
		return OwnerDump.of(this.owned.owned(), this.endpoints.all(), this.scheduler.nanos());
	}

	private void reassign() {
		if (this.stopped) {
			return;
		}
		Configuration current = this.configuration.current();
		this.shards = new ShardMap(current.register(), this.membership.eligible());
		this.owned.seek(assigned(current));
		this.endpoints.closeIf((endpoint) -> current.endpoint(endpoint.entry().name()).isEmpty());
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
				this.endpoints.open(shard, entry);
			}
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
			EndpointOwner.this.endpoints.closeIf((endpoint) -> endpoint.shard().equals(shard));
		}

	}

	/**
	 * Collects what the owner needs; not safe for use by multiple threads.
	 */
	public static final class Builder {

		Scheduler scheduler;

		private ConfigurationSource configuration;

		MembershipView membership;

		private Leases leases;

		PeerNetwork peers;

		EngineClient engines;

		EndpointSettings settings = EndpointSettings.defaults();

		MetricRegistry metrics = new MetricRegistry();

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
