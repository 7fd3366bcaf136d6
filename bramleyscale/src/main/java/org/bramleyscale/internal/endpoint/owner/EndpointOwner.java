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
 * Owns the endpoint shards that rendezvous hashing and a lease assign to this daemon, and
 * divides each endpoint's capacity among the entries that use it.
 *
 * <p>
 * Invariant: at most one owner of a shard holds its lease. An owner whose lease lapses,
 * for example because the platform is down, continues to grant until it learns of a
 * greater epoch. This is safe because grants are not orders and entries ignore grants of
 * an older epoch. Confined to the scheduler's thread.
 */
public final class EndpointOwner implements StateDump {

	private static final Duration TICK = Duration.ofMillis(250);

	private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(30);

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final ShardLeases shardLeases;

	private final OwnedEndpoints endpoints;

	private final EntryMessageHandler messages;

	private ShardMap shards;

	private Cancellable tickTask;

	private Cancellable announceTask;

	private boolean stopped;

	private EndpointOwner(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.membership = builder.membership;
		this.peers = builder.peers;
		this.settings = builder.settings;
		this.shardLeases = new ShardLeases(builder.leases, this.membership, this.peers, this::formerGrantsExpiry,
				new ShardOpener());
		this.endpoints = new OwnedEndpoints(builder, this.shardLeases::held);
		this.messages = new EntryMessageHandler(this.endpoints, this.shardLeases, this.peers, this.settings,
				this::redirect, builder.metrics.counter("endpoint.owner.demands"));
		builder.metrics.gauge("endpoint.owner.shards", () -> () -> this.shardLeases.owned().size());
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts acquiring the leases of shards and answering demands.
	 */
	public void start() {
		this.messages.listen();
		this.peers.listen(OwnerAnnounced.class, this.shardLeases::announced);
		this.configuration.onChange((version) -> reassign());
		this.membership.onChange(this::reassign);
		this.tickTask = this.scheduler.repeat(TICK, this.endpoints::tick);
		this.announceTask = this.scheduler.repeat(ANNOUNCE_PERIOD, this.shardLeases::reannounce);
		reassign();
	}

	/**
	 * Stops granting and releases the leases of all shards.
	 */
	public void stop() {
		this.stopped = true;
		this.tickTask.cancel();
		this.announceTask.cancel();
		this.shardLeases.acquireOnly(Map.of());
	}

	@Override
	public String name() {
		return "endpoint-owner";
	}

	@Override
	public Object dump() {
		return OwnerDump.of(this.shardLeases.owned(), this.endpoints.all(), this.scheduler.nanos());
	}

	private void reassign() {
		if (this.stopped) {
			return;
		}
		Configuration current = this.configuration.current();
		this.shards = new ShardMap(current.register(), this.membership.eligible());
		this.shardLeases.acquireOnly(assigned(current));
		this.endpoints.closeIf((endpoint) -> current.endpoint(endpoint.entry().name()).isEmpty());
		List.copyOf(this.shardLeases.owned()).forEach(this::open);
	}

	private Map<String, Shard> assigned(Configuration current) {
		Map<String, Shard> shardsByLease = new HashMap<>();
		VmId self = this.membership.self().vm();
		for (EndpointEntry endpoint : current.register().endpoints()) {
			Shard shard = this.shards.shard(endpoint);
			if (this.shards.owner(shard).filter(self::equals).isPresent()) {
				shardsByLease.put(shard.leaseName(), shard);
			}
		}
		return shardsByLease;
	}

	private long formerGrantsExpiry(Duration delay) {
		int endpointCount = this.configuration.current().register().endpoints().size();
		long lifetime = this.settings.longestLifetimeMillis(endpointCount, this.membership.members().size())
				* 1_000_000L;
		return this.scheduler.nanos() + lifetime + delay.toNanos();
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
		this.shardLeases.knownOwner(this.shards.shard(entry.get()))
			.filter((owner) -> !owner.vm().equals(this.membership.self().vm()))
			.ifPresent((owner) -> this.peers.send(to.vm(), new Redirect(endpoint, owner.vm(), owner.epoch())));
	}

	/**
	 * Opens and closes the endpoints of a shard when the shard is opened or closed.
	 */
	private final class ShardOpener implements ShardLeases.Listener {

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
	 * Builds an {@link EndpointOwner}. Not safe for use by multiple threads.
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
