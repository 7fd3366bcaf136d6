package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerDirectory;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Maintains this daemon's view of all daemons of the fleet.
 *
 * <p>
 * Members of a data centre exchange heartbeats with a few neighbours, gossip changed
 * claims, and compare their tables when digests differ; two relays of each data centre do
 * the same with the relays of the others and read the platform's list of VMs. Invariants:
 * a member appears only after a message from its daemon was received; a daemon is
 * declared dead only after its heartbeats have been missing; the leaving mark of an
 * incarnation is never removed. Confined to the scheduler's thread. <pre>
 * MembershipService membership = MembershipService.builder()
 *     .settings(settings).scheduler(scheduler).network(network)
 *     .store(store).random(random).metrics(metrics).build();
 * membership.start();
 * </pre>
 */
public final class MembershipService implements MembershipView, StateDump {

	/** The number of relays of a data centre that has as many daemons. */
	public static final int RELAYS_PER_DATA_CENTRE = Relays.RELAYS;

	private final PeerIdentity identity;

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final MembershipTimes times;

	private final MemberTable table;

	private final DataCentreStatuses dataCentres;

	private final Relays relays;

	private final Topology topology;

	private final ViewCache view;

	private final Heartbeats heartbeats;

	private final Claims claims;

	private final FailureDetector detector;

	private final PlatformPoll platformPoll;

	private final List<Runnable> leaveListeners = new ArrayList<>();

	private final List<Cancellable> timers = new ArrayList<>();

	private boolean leaveNotified;

	private boolean wasRelay;

	private long lastTick;

	private MembershipService(Builder builder) {
		this.identity = builder.settings.identity();
		this.scheduler = builder.scheduler;
		this.random = builder.random;
		this.times = builder.settings.times();
		DataCentre localDataCentre = this.identity.dataCentre();
		VmId self = this.identity.incarnation().vm();
		PlatformList list = new PlatformList(this.scheduler, this.times, builder.settings.seeds());
		this.table = new MemberTable(this.scheduler);
		this.dataCentres = new DataCentreStatuses(localDataCentre, this.scheduler);
		this.relays = new Relays(this.table, self, localDataCentre);
		this.topology = new Topology(this.table, this.relays, list, builder.settings, this.scheduler);
		this.view = new ViewCache(this.table, this.dataCentres, localDataCentre, this.times.heartbeatTimeout());
		this.heartbeats = new Heartbeats(this.table, this.dataCentres, this.topology, this.relays, builder.network,
				this.random, this.identity);
		ClaimGossip gossip = new ClaimGossip(this.table, this.dataCentres, builder.network, this.scheduler,
				localDataCentre, this.heartbeats::localTargets, this.heartbeats::remoteTargets);
		this.claims = new Claims(this.table, this.dataCentres, gossip, this.view, this.identity.incarnation(),
				this::notifyLeaving, builder.metrics);
		Inquiries inquiries = new Inquiries(this.scheduler, builder.network, this.times);
		DeathQuorum quorum = new DeathQuorum(this.table, self, localDataCentre, this.random);
		this.detector = new FailureDetector(this.table, inquiries, quorum, this.scheduler, this.times, this.claims,
				builder.metrics);
		this.platformPoll = new PlatformPoll(builder.store, list, this.table, this.dataCentres, this.relays,
				this.claims, localDataCentre, this.times.suspicionTimeout(), builder.metrics);
		TableExchange exchange = new TableExchange(this.table, builder.network, this.scheduler, this.times,
				builder.metrics);
		new Receiver(this.table, this.claims, this.dataCentres, exchange, this.detector, builder.network,
				localDataCentre);
		this.claims.addSelf(this.identity);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts heartbeats and reads of the platform's list.
	 */
	public void start() {
		this.lastTick = this.scheduler.nanos();
		this.platformPoll.poll();
		startTimer(this.times.heartbeatInterval(), this::tick);
		startTimer(this.times.pollInterval(), this.platformPoll::poll);
	}

	/**
	 * Stops heartbeats and reads of the platform's list.
	 */
	public void stop() {
		this.timers.forEach(Cancellable::cancel);
		this.timers.clear();
	}

	/**
	 * Marks this daemon as leaving and notifies the others at once.
	 */
	public void leave() {
		this.claims.markLeaving(this.identity.incarnation().vm());
	}

	/**
	 * Adds a listener that is called once when this daemon has to leave: because of
	 * {@link #leave()}, because the platform plans to remove its VM, or because a later
	 * start of the daemon on the same VM became known.
	 * @param listener the listener
	 */
	public void onLeave(Runnable listener) {
		this.leaveListeners.add(listener);
	}

	/**
	 * Returns the directory that tells the network which connections to keep.
	 * @return the directory
	 */
	public PeerDirectory directory() {
		return this.topology;
	}

	@Override
	public Incarnation self() {
		return this.identity.incarnation();
	}

	@Override
	public DataCentre dataCentre() {
		return this.identity.dataCentre();
	}

	@Override
	public Collection<Member> members() {
		return this.view.members();
	}

	@Override
	public Optional<Member> member(VmId vm) {
		return this.view.member(vm);
	}

	@Override
	public List<Member> eligible() {
		return this.view.eligible();
	}

	@Override
	public void onChange(Runnable listener) {
		this.view.onChange(listener);
	}

	/**
	 * The number of daemons that should exist, whether they are responsive or not.
	 * <p>
	 * A daemon that ended by a planned stop isn't counted; one that failed is counted
	 * until its entry is removed, since a partitioned group can't tell a crash from a
	 * partition.
	 * @return the number, including this daemon
	 */
	public int expectedDaemonCount() {
		return (int) this.table.all()
			.stream()
			.filter((entry) -> entry.health() != Health.DEAD || !entry.leaving())
			.count();
	}

	/**
	 * Whether this daemon is one of the few that keep connections to daemons of other
	 * data centres.
	 * @return true for a relay
	 */
	public boolean isRelay() {
		return this.relays.isRelay();
	}

	/**
	 * The relays of this data centre.
	 * @return their VMs, including this daemon's own if it is a relay
	 */
	public List<VmId> relays() {
		return this.relays.of(this.identity.dataCentre());
	}

	/**
	 * The relays of all other data centres.
	 * @return their VMs
	 */
	public Set<VmId> remoteRelays() {
		return this.relays.remote();
	}

	public MemberHistory history() {
		return this.view;
	}

	@Override
	public String name() {
		return "membership";
	}

	@Override
	public Object dump() {
		return MembershipDump.of(this, this.relays, this.topology, this.dataCentres);
	}

	private void startTimer(Duration period, Runnable task) {
		Duration phase = Duration.ofNanos(this.random.nextLong(period.toNanos()));
		this.timers.add(this.scheduler.schedule(phase, () -> {
			task.run();
			this.timers.add(this.scheduler.repeat(period, task));
		}));
	}

	private void tick() {
		long now = this.scheduler.nanos();
		boolean paused = now - this.lastTick > 2 * this.times.heartbeatInterval().toNanos();
		this.lastTick = now;
		this.detector.tick(this.topology.neighbours().predecessors());
		this.heartbeats.send();
		observeDataCentres(paused);
		this.platformPoll.apply();
		this.table.removeDead(this.times.deadRetention().toNanos());
	}

	private void observeDataCentres(boolean paused) {
		boolean relay = this.relays.isRelay();
		if (paused || relay != this.wasRelay) {
			this.dataCentres.resetObservations();
		}
		this.wasRelay = relay;
		long timeoutNanos = this.times.dataCentreTimeout().toNanos();
		if (relay && this.dataCentres.updateClaims(this.relays.otherDataCentres(), timeoutNanos)) {
			this.claims.dataCentresChanged();
		}
	}

	private void notifyLeaving() {
		if (!this.leaveNotified) {
			this.leaveNotified = true;
			this.leaveListeners.forEach(Runnable::run);
		}
	}

	/**
	 * Builds a {@link MembershipService}. Not safe for use by multiple threads.
	 */
	public static final class Builder {

		private MembershipSettings settings;

		private Scheduler scheduler;

		private PeerNetwork network;

		private ObjectStore store;

		private RandomGenerator random;

		private MetricRegistry metrics;

		private Builder() {
		}

		public Builder settings(MembershipSettings settings) {
			this.settings = settings;
			return this;
		}

		public Builder scheduler(Scheduler scheduler) {
			this.scheduler = scheduler;
			return this;
		}

		public Builder network(PeerNetwork network) {
			this.network = network;
			return this;
		}

		public Builder store(ObjectStore store) {
			this.store = store;
			return this;
		}

		public Builder random(RandomGenerator random) {
			this.random = random;
			return this;
		}

		public Builder metrics(MetricRegistry metrics) {
			this.metrics = metrics;
			return this;
		}

		public MembershipService build() {
			return new MembershipService(this);
		}

	}

}
