package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.OwnerAnnounced;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.lease.Leases;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.jboss.logging.Logger;

/**
 * The shards that this daemon owns or seeks, and the owners of others that it heard of.
 *
 * <p>
 * Invariant: a shard stays owned when its lease lapses, until a greater epoch is heard
 * of. In an outage of the platform nobody can take the lease, and grants must go on. In
 * any other case the next holder announces itself. Confined to the scheduler's thread.
 */
final class ShardLeases {

	private static final Logger logger = Logger.getLogger(ShardLeases.class);

	/** No former owner can have granted anything before this epoch. */
	private static final long FIRST_EPOCH = 1;

	/** While configurations spread, two daemons may own an endpoint by different maps. */
	private static final Duration CONFIGURATION_SPREAD = Duration.ofSeconds(5);

	/** Above so many members, a take-over is announced only where it may matter. */
	private static final int ANNOUNCE_TO_ALL = 64;

	private final Leases leases;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final ToLongFunction<Duration> settledAt;

	private final Listener listener;

	private final Map<String, Shard> sought = new HashMap<>();

	private final Map<String, OwnedShard> owned = new HashMap<>();

	private final Map<String, KnownOwner> others = new HashMap<>();

	/**
	 * Begins with no shard.
	 * @param leases the leases
	 * @param membership who exists
	 * @param peers where take-overs are announced
	 * @param settledAt when grants of a former owner have expired, with an additional
	 * delay
	 * @param listener told of what is opened and closed
	 */
	ShardLeases(Leases leases, MembershipView membership, PeerNetwork peers, ToLongFunction<Duration> settledAt,
			Listener listener) {
		this.leases = leases;
		this.membership = membership;
		this.peers = peers;
		this.settledAt = settledAt;
		this.listener = listener;
	}

	Collection<OwnedShard> owned() {
		return this.owned.values();
	}

	Optional<OwnedShard> owned(Shard shard) {
		return Optional.ofNullable(this.owned.get(shard.leaseName())).filter((mine) -> mine.shard().equals(shard));
	}

	Optional<KnownOwner> other(Shard shard) {
		return Optional.ofNullable(this.others.get(shard.leaseName()));
	}

	/**
	 * Whether the lease of a shard is certainly held now.
	 * @param shard the shard
	 * @return true if acts that need the lease are allowed
	 */
	boolean held(OwnedShard shard) {
		return this.leases.lease(shard.shard().leaseName())
			.filter((lease) -> lease.number() == shard.epoch() && lease.held())
			.isPresent();
	}

	/**
	 * Seeks the leases of these shards and of no others.
	 * @param shards the shards, by the names of their leases
	 */
	void seek(Map<String, Shard> shards) {
		for (String lease : List.copyOf(this.sought.keySet())) {
			if (!shards.containsKey(lease)) {
				this.sought.remove(lease);
				drop(lease);
				this.leases.release(lease);
			}
		}
		shards.forEach(this::seek);
	}

	/**
	 * A greater epoch of a shard was heard of.
	 * @param shard the shard
	 * @param epoch the epoch
	 */
	void superseded(Shard shard, long epoch) {
		OwnedShard mine = this.owned.get(shard.leaseName());
		if (mine != null && mine.epoch() < epoch) {
			logger.infof("Epoch %d of %s is older than %d", mine.epoch(), shard.leaseName(), epoch);
			drop(shard.leaseName());
		}
	}

	/**
	 * Announces what is owned here, for daemons that could not be reached before. A
	 * former owner that was cut off would otherwise poll and count for ever.
	 */
	void announceAgain() {
		this.owned.values().forEach(this::announce);
	}

	void announced(Incarnation from, OwnerAnnounced message) {
		Shard shard = Shard.of(message.dataCentre(), message.shard());
		KnownOwner known = this.others.get(shard.leaseName());
		if (known == null || known.epoch() <= message.epoch()) {
			this.others.put(shard.leaseName(), new KnownOwner(from.vm(), message.epoch()));
		}
		superseded(shard, message.epoch());
	}

	private void seek(String lease, Shard shard) {
		Shard before = this.sought.put(lease, shard);
		if (before == null) {
			this.leases.seek(lease, new ShardListener(lease));
		}
		else if (!before.equals(shard) && this.owned.containsKey(lease)) {
			// The shard's contents changed: former owners of what is new here may go on
			// granting until the configuration has reached them and their entries.
			long epoch = this.owned.get(lease).epoch();
			drop(lease);
			open(new OwnedShard(shard, epoch, this.settledAt.applyAsLong(CONFIGURATION_SPREAD)));
		}
	}

	private void taken(String lease, long epoch) {
		Shard shard = this.sought.get(lease);
		if (shard == null) {
			return;
		}
		drop(lease);
		long settled = (epoch <= FIRST_EPOCH) ? Long.MIN_VALUE : this.settledAt.applyAsLong(Duration.ZERO);
		open(new OwnedShard(shard, epoch, settled));
	}

	private void open(OwnedShard shard) {
		String lease = shard.shard().leaseName();
		logger.infof("Granting for %s with epoch %d", lease, shard.epoch());
		this.owned.put(lease, shard);
		this.others.remove(lease);
		this.listener.opened(shard);
		announce(shard);
	}

	private void drop(String lease) {
		OwnedShard shard = this.owned.remove(lease);
		if (shard != null) {
			logger.infof("No longer granting for %s with epoch %d", lease, shard.epoch());
			this.listener.closed(shard);
		}
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

	/**
	 * Told which shards to grant for, on the scheduler's thread.
	 */
	interface Listener {

		void opened(OwnedShard shard);

		void closed(OwnedShard shard);

	}

	/**
	 * Another daemon that announced itself as owner.
	 *
	 * @param vm the daemon
	 * @param epoch the epoch it announced
	 */
	record KnownOwner(VmId vm, long epoch) {
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
			ShardLeases.this.taken(this.lease, taken.number());
		}

		@Override
		public void lost(Lease lost) {
			logger.infof("Lease %s lapsed; granting goes on until a greater epoch is heard of", this.lease);
		}

	}

}
