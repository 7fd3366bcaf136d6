package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.PausableScheduler;

/**
 * A simulated fleet of daemons that follow one store, on a manual clock.
 *
 * <p>
 * Each daemon has a real follower and a real exchange of copies; the store and the
 * connections are simulated. The daemons are in the order of their ranks. Messages
 * between two daemons arrive in the order in which they were sent. Confined to the test's
 * thread.
 */
final class SimulatedFleet {

	/**
	 * The delay between the starts of daemons. Without it all rounds of digests would
	 * coincide for the whole test.
	 */
	private static final Duration START_GAP = Duration.ofMillis(17);

	private final ManualScheduler scheduler;

	private final SimulatedStore store;

	private final FollowTimes times;

	private final List<Daemon> daemons = new ArrayList<>();

	private Topology topology = new FullMesh();

	private BiPredicate<Integer, Integer> cut = (one, other) -> false;

	private int starts;

	private int copiesSent;

	private boolean tooLarge;

	/**
	 * Creates a fleet without daemons.
	 * @param scheduler the clock of the store and of all daemons
	 * @param within the time within which a change must be in force
	 */
	SimulatedFleet(ManualScheduler scheduler, Duration within) {
		this.scheduler = scheduler;
		this.store = new SimulatedStore(scheduler);
		this.times = FollowTimes.within(within);
	}

	/**
	 * Starts daemons one after the other.
	 * @param count the number of daemons
	 */
	void start(int count) {
		for (int i = 0; i < count; i++) {
			this.daemons.add(new Daemon(this.daemons.size()));
		}
		for (Daemon daemon : this.daemons) {
			daemon.start();
			this.scheduler.advance(START_GAP);
		}
	}

	/**
	 * Adds a daemon after all others and starts it.
	 * @return the daemon
	 */
	Daemon startOneMore() {
		Daemon daemon = new Daemon(this.daemons.size());
		this.daemons.add(daemon);
		daemon.start();
		return daemon;
	}

	/**
	 * Ends a daemon's process and starts another one in its place.
	 * @param rank its rank
	 * @param cacheAge the age of the list that it starts with
	 * @return the new daemon
	 */
	Daemon restart(int rank, Duration cacheAge) {
		this.daemons.get(rank).clock.crash();
		Daemon daemon = new Daemon(rank);
		this.daemons.set(rank, daemon);
		daemon.store.cacheAge(cacheAge);
		daemon.start();
		return daemon;
	}

	/**
	 * Cuts connections between daemons, instead of those that were cut before.
	 * @param between whether the connection between two ranks is cut
	 */
	void cut(BiPredicate<Integer, Integer> between) {
		this.cut = between;
	}

	private boolean isCut(int one, int other) {
		return this.cut.test(one, other) || this.cut.test(other, one);
	}

	void topology(Topology newTopology) {
		this.topology = newTopology;
	}

	List<Daemon> daemons() {
		return this.daemons;
	}

	SimulatedStore store() {
		return this.store;
	}

	/**
	 * The number of messages with copies.
	 * @return how many the daemons have sent to each other since the start
	 */
	int copiesSent() {
		return this.copiesSent;
	}

	/** Makes objects too large to be sent between daemons from now on. */
	void rejectCopies() {
		this.tooLarge = true;
	}

	/**
	 * The connections between daemons and the routes of updates.
	 */
	interface Topology {

		/**
		 * The daemons with which one has connections.
		 * @param rank its rank
		 * @return their ranks
		 */
		Set<Integer> connected(int rank);

		/**
		 * The recipients of what a daemon read from the store.
		 * @param rank its rank
		 * @return their ranks
		 */
		Set<Integer> originRecipients(int rank);

		/**
		 * The peers to which a daemon forwards an update of a peer.
		 * @param rank its rank
		 * @param from the peer's rank
		 * @return their ranks
		 */
		Set<Integer> forwardRecipients(int rank, int from);

	}

	/**
	 * A full mesh, as in a small fleet.
	 */
	private final class FullMesh implements Topology {

		@Override
		public Set<Integer> connected(int rank) {
			Set<Integer> others = new TreeSet<>();
			SimulatedFleet.this.daemons.stream()
				.filter((daemon) -> daemon.rank != rank)
				.forEach((daemon) -> others.add(daemon.rank));
			return others;
		}

		@Override
		public Set<Integer> originRecipients(int rank) {
			return connected(rank);
		}

		@Override
		public Set<Integer> forwardRecipients(int rank, int from) {
			return Set.of();
		}

	}

	/**
	 * One daemon and its side of the connections to its peers.
	 */
	final class Daemon implements PeerNetwork, UpdateRoutes, FollowOrder {

		/** The transmission time of a message between two daemons on an idle link. */
		private static final Duration LINK_DELAY = Duration.ofMillis(1);

		private final int rank;

		private final Incarnation self;

		private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

		private final ObjectCopies copies = new ObjectCopies(this::changed);

		private final Map<String, Long> usedUntil = new HashMap<>();

		private final PausableScheduler clock = new PausableScheduler(SimulatedFleet.this.scheduler);

		private final SimulatedStore.Access store = SimulatedFleet.this.store.new Access(this.clock);

		private final PeerCopies exchange;

		private final StoreFollower follower;

		private boolean connectedToPeers = true;

		private Duration queueDelay = Duration.ZERO;

		private long arrivesAt;

		private long frozenUntil;

		private Daemon(int rank) {
			this.rank = rank;
			this.self = new Incarnation(new VmId("d" + rank), ++SimulatedFleet.this.starts);
			this.exchange = new PeerCopies(this.self, this.clock, this, Map.of(SimulatedStore.KIND, this.copies), this,
					DecisionLog.NONE);
			this.follower = new StoreFollower(SimulatedStore.KIND, this.clock, new Random(rank), this.store,
					this.copies, this, SimulatedFleet.this.times, DecisionLog.NONE);
			this.follower.onUpdate(
					(from) -> this.exchange.push(SimulatedStore.KIND, from, this.follower.sinceOutage(), rank == 0));
		}

		private void start() {
			this.follower.start();
			this.exchange.start();
		}

		SimulatedStore.Access store() {
			return this.store;
		}

		/**
		 * The time since the last outage of the store, by the daemon's own calls and the
		 * reports of its peers.
		 * @return the time
		 */
		Duration sinceOutage() {
			return this.follower.sinceOutage(this.exchange.sinceOutage());
		}

		boolean connectedToPeers() {
			return this.connectedToPeers;
		}

		/**
		 * Suspends the daemon's process.
		 * @param span for how long
		 */
		void freeze(Duration span) {
			this.frozenUntil = Math.max(this.frozenUntil, this.clock.nanos() + span.toNanos());
			this.clock.pause();
			SimulatedFleet.this.scheduler.schedule(span, this::unfreeze);
		}

		private void unfreeze() {
			if (this.clock.nanos() >= this.frozenUntil) {
				this.clock.resume();
			}
		}

		/** Closes the daemon's connections to its peers. */
		void disconnectPeers() {
			this.connectedToPeers = false;
		}

		/** Cuts the daemon off from its peers and the store, without an error. */
		void isolate() {
			disconnectPeers();
			this.store.outcome(SimulatedStore.CallOutcome.SILENT);
		}

		/**
		 * Sets the queueing delay of the daemon's messages from now on.
		 * @param time the time in queues
		 */
		void queueDelay(Duration time) {
			this.queueDelay = time;
		}

		boolean knows(String name) {
			return this.copies.changedAfter(0).stream().anyMatch((copy) -> copy.name().equals(name) && !copy.deleted());
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			if (message instanceof CopiesUpdate update && !update.objects().isEmpty()) {
				if (SimulatedFleet.this.tooLarge) {
					return false;
				}
				SimulatedFleet.this.copiesSent++;
			}
			long now = SimulatedFleet.this.scheduler.nanos();
			this.arrivesAt = Math.max(this.arrivesAt, now + this.queueDelay.plus(LINK_DELAY).toNanos());
			for (Daemon other : SimulatedFleet.this.daemons) {
				if (other.self.vm().equals(to) && this.connectedToPeers && other.connectedToPeers
						&& !isCut(this.rank, other.rank)) {
					SimulatedFleet.this.scheduler.schedule(Duration.ofNanos(this.arrivesAt - now),
							() -> other.clock.execute(() -> other.received(this, message)));
				}
			}
			return true;
		}

		@SuppressWarnings("unchecked")
		private void received(Daemon from, PeerMessage message) {
			((PeerListener<PeerMessage>) this.listeners.get(message.getClass())).received(from.self, message);
		}

		private void changed(ObjectCopy object) {
			if (!object.deleted()) {
				this.usedUntil.remove(object.name());
				return;
			}
			Duration grace = BackendTable.LAPSE_GRACE_PERIOD.minus(sinceOutage());
			this.usedUntil.putIfAbsent(object.name(), this.clock.nanos() + Math.max(0, grace.toNanos()));
		}

		/**
		 * The time until which the endpoint of a removed entry is used, since the entry
		 * may have expired in an outage.
		 * @param name the entry's name
		 * @return the time, by the scheduler
		 */
		long usedUntil(String name) {
			return this.usedUntil.getOrDefault(name, Long.MIN_VALUE);
		}

		/**
		 * The objects that the daemon takes for stored.
		 * @return their copies
		 */
		List<ObjectCopy> held() {
			return this.copies.changedAfter(0);
		}

		@Override
		public Set<VmId> connected() {
			return vms(SimulatedFleet.this.topology.connected(this.rank)
				.stream()
				.filter((other) -> !isCut(this.rank, other))
				.collect(Collectors.toSet()));
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.put(type, listener);
		}

		@Override
		public Collection<VmId> originRecipients() {
			return vms(SimulatedFleet.this.topology.originRecipients(this.rank));
		}

		@Override
		public Collection<VmId> forwardRecipients(VmId from) {
			return vms(SimulatedFleet.this.topology.forwardRecipients(this.rank,
					Integer.parseInt(from.value().substring(1))));
		}

		private static Set<VmId> vms(Set<Integer> ranks) {
			Set<VmId> sorted = new TreeSet<>(Comparator.comparing(VmId::value));
			ranks.forEach((rank) -> sorted.add(new VmId("d" + rank)));
			return sorted;
		}

		@Override
		public int rank() {
			return this.rank;
		}

		@Override
		public boolean hasPeers() {
			return SimulatedFleet.this.daemons.size() > 1;
		}

		@Override
		public boolean isolated() {
			return this.exchange.isolated();
		}

	}

}
