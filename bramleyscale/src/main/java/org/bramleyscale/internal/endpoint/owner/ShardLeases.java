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
 * The shards that this daemon owns or is assigned, and the announced owners of other
 * shards.
 *
 * <p>
 * Invariant: a shard stays owned after its lease lapses, until this daemon learns of a
 * greater epoch. During an outage of the platform nobody can acquire the lease, and
 * granting must continue. In any other case the next holder announces itself. Confined to
 * the scheduler's thread.
 */
final class ShardLeases {

	private static final Logger logger = Logger.getLogger(ShardLeases.class);

	/** No former owner can have granted anything before this epoch. */
	private static final long FIRST_EPOCH = 1;

	/**
	 * While a configuration propagates, two daemons may own an endpoint by different
	 * shard maps.
	 */
	private static final Duration CONFIGURATION_PROPAGATION = Duration.ofSeconds(5);

	/**
	 * In a larger fleet, a new owner is announced only to connected daemons and to the
	 * shard's data centre.
	 */
	private static final int MAX_MEMBERS_FOR_BROADCAST = 64;

	private final Leases leases;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final ToLongFunction<Duration> formerGrantsExpiry;

	private final Listener listener;

	private final Map<String, Shard> assigned = new HashMap<>();

	private final Map<String, OwnedShard> owned = new HashMap<>();

	private final Map<String, KnownOwner> knownOwners = new HashMap<>();

	/**
	 * Creates an instance without owned or assigned shards.
	 * @param leases the leases of this daemon
	 * @param membership the known daemons
	 * @param peers the network on which new owners are announced
	 * @param formerGrantsExpiry computes when the grants of a former owner have expired,
	 * given an additional delay
	 * @param listener notified when a shard is opened or closed
	 */
	ShardLeases(Leases leases, MembershipView membership, PeerNetwork peers,
			ToLongFunction<Duration> formerGrantsExpiry, Listener listener) {
		this.leases = leases;
		this.membership = membership;
		this.peers = peers;
		this.formerGrantsExpiry = formerGrantsExpiry;
		this.listener = listener;
	}

	Collection<OwnedShard> owned() {
		return this.owned.values();
	}

	Optional<OwnedShard> owned(Shard shard) {
		return Optional.ofNullable(this.owned.get(shard.leaseName()))
			.filter((ownedShard) -> ownedShard.shard().equals(shard));
	}

	Optional<KnownOwner> knownOwner(Shard shard) {
		return Optional.ofNullable(this.knownOwners.get(shard.leaseName()));
	}

	/**
	 * Returns whether the lease of a shard is certainly held now.
	 * @param shard the shard
	 * @return true if operations that need the lease are allowed
	 */
	boolean held(OwnedShard shard) {
		return this.leases.lease(shard.shard().leaseName())
			.filter((lease) -> lease.number() == shard.epoch() && lease.held())
			.isPresent();
	}

	/**
	 * Tries to acquire the leases of these shards, and releases all others.
	 * @param shards the shards by lease name
	 */
	void acquireOnly(Map<String, Shard> shards) {
		for (String lease : List.copyOf(this.assigned.keySet())) {
			if (!shards.containsKey(lease)) {
				this.assigned.remove(lease);
				drop(lease);
				this.leases.release(lease);
			}
		}
		shards.forEach(this::acquire);
	}

	/**
	 * Drops a shard that is owned with a smaller epoch than one that was received.
	 * @param shard the shard
	 * @param epoch the epoch that was received
	 */
	void superseded(Shard shard, long epoch) {
		OwnedShard ownedShard = this.owned.get(shard.leaseName());
		if (ownedShard != null && ownedShard.epoch() < epoch) {
			logger.infof("Epoch %d of %s is superseded by epoch %d", ownedShard.epoch(), shard.leaseName(), epoch);
			drop(shard.leaseName());
		}
	}

	/**
	 * Announces the owned shards again, for daemons that were unreachable before. A
	 * former owner that was partitioned would otherwise keep polling and accounting
	 * indefinitely.
	 */
	void reannounce() {
		this.owned.values().forEach(this::announce);
	}

	void announced(Incarnation from, OwnerAnnounced message) {
		Shard shard = Shard.of(message.dataCentre(), message.shard());
		KnownOwner previous = this.knownOwners.get(shard.leaseName());
		if (previous == null || previous.epoch() <= message.epoch()) {
			this.knownOwners.put(shard.leaseName(), new KnownOwner(from.vm(), message.epoch()));
		}
		superseded(shard, message.epoch());
	}

	private void acquire(String lease, Shard shard) {
		Shard previous = this.assigned.put(lease, shard);
		if (previous == null) {
			this.leases.acquire(lease, new ShardListener(lease));
		}
		else if (!previous.equals(shard) && this.owned.containsKey(lease)) {
			// The shard's endpoints changed: former owners of endpoints that are new here
			// may continue to grant until the configuration has reached them and their
			// entries.
			long epoch = this.owned.get(lease).epoch();
			drop(lease);
			open(new OwnedShard(shard, epoch, this.formerGrantsExpiry.applyAsLong(CONFIGURATION_PROPAGATION)));
		}
	}

	private void acquired(String lease, long epoch) {
		Shard shard = this.assigned.get(lease);
		if (shard == null) {
			return;
		}
		drop(lease);
		long grantsExpiry = (epoch <= FIRST_EPOCH) ? Long.MIN_VALUE
				: this.formerGrantsExpiry.applyAsLong(Duration.ZERO);
		open(new OwnedShard(shard, epoch, grantsExpiry));
	}

	private void open(OwnedShard shard) {
		String lease = shard.shard().leaseName();
		logger.infof("Started granting for %s with epoch %d", lease, shard.epoch());
		this.owned.put(lease, shard);
		this.knownOwners.remove(lease);
		this.listener.opened(shard);
		announce(shard);
	}

	private void drop(String lease) {
		OwnedShard shard = this.owned.remove(lease);
		if (shard != null) {
			logger.infof("Stopped granting for %s with epoch %d", lease, shard.epoch());
			this.listener.closed(shard);
		}
	}

	private void announce(OwnedShard shard) {
		OwnerAnnounced message = new OwnerAnnounced(shard.shard().dataCentre(), shard.shard().code(), shard.epoch());
		Set<VmId> recipients = new HashSet<>(this.peers.connected());
		boolean broadcast = this.membership.members().size() <= MAX_MEMBERS_FOR_BROADCAST;
		for (Member member : this.membership.members()) {
			if (broadcast || member.dataCentre().equals(shard.shard().dataCentre())) {
				recipients.add(member.vm());
			}
		}
		recipients.forEach((recipient) -> this.peers.send(recipient, message));
	}

	/**
	 * Notified on the scheduler's thread when a shard is opened or closed for granting.
	 */
	interface Listener {

		void opened(OwnedShard shard);

		void closed(OwnedShard shard);

	}

	/**
	 * Another daemon that announced itself as owner of a shard.
	 *
	 * @param vm the daemon
	 * @param epoch the epoch it announced
	 */
	record KnownOwner(VmId vm, long epoch) {
	}

	/**
	 * Notified of changes of one shard's lease.
	 */
	private final class ShardListener implements Leases.LeaseListener {

		private final String lease;

		private ShardListener(String lease) {
			this.lease = lease;
		}

		@Override
		public void acquired(Lease acquired) {
			ShardLeases.this.acquired(this.lease, acquired.number());
		}

		@Override
		public void lost(Lease lost) {
			logger.infof("Lease %s lapsed; continuing to grant until a greater epoch is announced", this.lease);
		}

	}

}
