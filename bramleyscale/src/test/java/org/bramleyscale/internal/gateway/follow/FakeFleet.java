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

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.PausableScheduler;

/**
 * A fleet of daemons that follow one store, on a manual clock.
 *
 * <p>
 * Each daemon is a real follower with a real exchange of copies; the store and the
 * connections are played. The daemons are in ranked order. Messages between two daemons
 * arrive in the order of sending. Confined to the test's thread.
 */
final class FakeFleet {

	/** Daemons don't start in step; if they did, their rounds would meet for ever. */
	private static final Duration START_GAP = Duration.ofMillis(17);

	private final ManualScheduler scheduler;

	private final PlayedStore store;

	private final FollowTimes times;

	private final List<Daemon> daemons = new ArrayList<>();

	private Topology topology = new AllWithAll();

	private int copiesSent;

	private boolean tooLarge;

	/**
	 * Makes a fleet without daemons.
	 * @param scheduler the clock of the store and of all daemons
	 * @param within the time within which a change must be in force
	 */
	FakeFleet(ManualScheduler scheduler, Duration within) {
		this.scheduler = scheduler;
		this.store = new PlayedStore(scheduler);
		this.times = FollowTimes.within(within);
	}

	/**
	 * Starts daemons one after the other.
	 * @param count how many
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

	void topology(Topology newTopology) {
		this.topology = newTopology;
	}

	List<Daemon> daemons() {
		return this.daemons;
	}

	PlayedStore store() {
		return this.store;
	}

	/**
	 * Messages with copies in them.
	 * @return how many daemons sent to each other since the start
	 */
	int copiesSent() {
		return this.copiesSent;
	}

	/** From now on objects are too large to be sent from daemon to daemon. */
	void refuseCopies() {
		this.tooLarge = true;
	}

	/**
	 * Who is connected with whom, and who passes on what.
	 */
	interface Topology {

		/**
		 * The daemons with which one has connections.
		 * @param rank its rank
		 * @return their ranks
		 */
		Set<Integer> connected(int rank);

		/**
		 * Whom a daemon tells what it read from the store.
		 * @param rank its rank
		 * @return their ranks
		 */
		Set<Integer> firstHand(int rank);

		/**
		 * Whom a daemon tells what a peer told.
		 * @param rank its rank
		 * @param from the peer's rank
		 * @return their ranks
		 */
		Set<Integer> passedOn(int rank, int from);

	}

	/**
	 * All daemons are connected with all, as in a small fleet.
	 */
	private final class AllWithAll implements Topology {

		@Override
		public Set<Integer> connected(int rank) {
			Set<Integer> others = new TreeSet<>();
			FakeFleet.this.daemons.stream()
				.filter((daemon) -> daemon.rank != rank)
				.forEach((daemon) -> others.add(daemon.rank));
			return others;
		}

		@Override
		public Set<Integer> firstHand(int rank) {
			return connected(rank);
		}

		@Override
		public Set<Integer> passedOn(int rank, int from) {
			return Set.of();
		}

	}

	/**
	 * One daemon, with its end of the connections with its peers.
	 */
	final class Daemon implements PeerNetwork, NewsRoutes, FollowOrder {

		/** What a message between two daemons takes on a link that isn't busy. */
		private static final Duration TRAVEL = Duration.ofMillis(1);

		private final int rank;

		private final Incarnation self;

		private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

		private final FollowedKind copies = new FollowedKind((object) -> {
		});

		private final PausableScheduler clock = new PausableScheduler(FakeFleet.this.scheduler);

		private final PlayedStore.Access store = FakeFleet.this.store.new Access(this.clock);

		private final PeerCopies exchange;

		private final StoreFollower follower;

		private boolean peers = true;

		private Duration queued = Duration.ZERO;

		private long arrivesAt;

		private long frozenUntil;

		private Daemon(int rank) {
			this.rank = rank;
			this.self = new Incarnation(new VmId("d" + rank), 1);
			this.exchange = new PeerCopies(this.self, this.clock, this, Map.of(PlayedStore.KIND, this.copies), this,
					DecisionLog.NONE);
			this.follower = new StoreFollower(PlayedStore.KIND, this.clock, new Random(rank), this.store, this.copies,
					this, FakeFleet.this.times, DecisionLog.NONE);
			this.follower
				.onNews((from) -> this.exchange.push(PlayedStore.KIND, from, this.follower.sinceOutage(), rank == 0));
		}

		private void start() {
			this.follower.start();
			this.exchange.start();
		}

		PlayedStore.Access store() {
			return this.store;
		}

		/**
		 * For how long the store hasn't been away, by the daemon's own calls and what
		 * peers say.
		 * @return the time
		 */
		Duration sinceOutage() {
			Duration own = this.follower.sinceOutage();
			Duration heard = this.exchange.sinceOutage();
			return (own.compareTo(heard) < 0) ? own : heard;
		}

		boolean hearsPeers() {
			return this.peers;
		}

		/**
		 * Has the daemon's process stand still.
		 * @param span for how long
		 */
		void freeze(Duration span) {
			this.frozenUntil = Math.max(this.frozenUntil, this.clock.nanos() + span.toNanos());
			this.clock.pause();
			FakeFleet.this.scheduler.schedule(span, this::thaw);
		}

		private void thaw() {
			if (this.clock.nanos() >= this.frozenUntil) {
				this.clock.resume();
			}
		}

		/** Ends the daemon's connections with its peers. */
		void losePeers() {
			this.peers = false;
		}

		/** Ends all that the daemon hears, without an error. */
		void cutOff() {
			losePeers();
			this.store.link(PlayedStore.Link.SILENT);
		}

		/**
		 * Sets how long what the daemon sends from now on waits before it travels.
		 * @param time the time in queues
		 */
		void queued(Duration time) {
			this.queued = time;
		}

		boolean knows(String name) {
			return this.copies.after(0).stream().anyMatch((copy) -> copy.name().equals(name));
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			if (message instanceof CopiesTold told && !told.objects().isEmpty()) {
				if (FakeFleet.this.tooLarge) {
					return false;
				}
				FakeFleet.this.copiesSent++;
			}
			long now = FakeFleet.this.scheduler.nanos();
			this.arrivesAt = Math.max(this.arrivesAt, now + this.queued.plus(TRAVEL).toNanos());
			for (Daemon other : FakeFleet.this.daemons) {
				if (other.self.vm().equals(to) && this.peers && other.peers) {
					FakeFleet.this.scheduler.schedule(Duration.ofNanos(this.arrivesAt - now),
							() -> other.clock.execute(() -> other.received(this, message)));
				}
			}
			return true;
		}

		@SuppressWarnings("unchecked")
		private void received(Daemon from, PeerMessage message) {
			((PeerListener<PeerMessage>) this.listeners.get(message.getClass())).received(from.self, message);
		}

		@Override
		public Set<VmId> connected() {
			return vms(FakeFleet.this.topology.connected(this.rank));
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.put(type, listener);
		}

		@Override
		public Collection<VmId> firstHand() {
			return vms(FakeFleet.this.topology.firstHand(this.rank));
		}

		@Override
		public Collection<VmId> passedOn(VmId from) {
			return vms(FakeFleet.this.topology.passedOn(this.rank, Integer.parseInt(from.value().substring(1))));
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
		public boolean alone() {
			return this.exchange.alone();
		}

	}

}
