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
 * Keeps this daemon's view of all daemons up to date.
 *
 * <p>
 * Members of a data centre exchange heartbeats with a few neighbours, push changed claims
 * on, and compare their tables when digests differ; two relays of each data centre do the
 * same with those of the others and read the platform's list. Invariants: an entry
 * appears only once its daemon has spoken; a daemon is declared dead only after silence
 * seen by heartbeats; the leaving mark of an incarnation never goes away. Confined to the
 * scheduler's thread. <pre>
 * MembershipService membership = MembershipService.builder()
 *     .settings(settings).scheduler(scheduler).network(network)
 *     .store(store).random(random).metrics(metrics).build();
 * membership.start();
 * </pre>
 */
public final class MembershipService implements MembershipView, StateDump {

	private final PeerIdentity identity;

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final MembershipTimes times;

	private final MemberTable table;

	private final DataCentreSilences silences;

	private final Relays relays;

	private final Topology topology;

	private final ViewCache view;

	private final Heartbeats heartbeats;

	private final Claims claims;

	private final FailureDetector detector;

	private final PlatformPoll platform;

	private final List<Runnable> leaveListeners = new ArrayList<>();

	private final List<Cancellable> timers = new ArrayList<>();

	private boolean leaveReported;

	private boolean wasRelay;

	private long lastTick;

	private MembershipService(Builder builder) {
		this.identity = builder.settings.identity();
		this.scheduler = builder.scheduler;
		this.random = builder.random;
		this.times = builder.settings.times();
		DataCentre own = this.identity.dataCentre();
		VmId self = this.identity.incarnation().vm();
		PlatformList list = new PlatformList(this.scheduler, this.times, builder.settings.seeds());
		this.table = new MemberTable(this.scheduler);
		this.silences = new DataCentreSilences(own, this.scheduler);
		this.relays = new Relays(this.table, self, own);
		this.topology = new Topology(this.table, this.relays, list, builder.settings, this.scheduler);
		this.view = new ViewCache(this.table, this.silences, own, this.times.silence());
		this.heartbeats = new Heartbeats(this.table, this.silences, this.topology, this.relays, builder.network,
				this.random, this.identity);
		Rumours rumours = new Rumours(this.table, this.silences, builder.network, this.scheduler, own,
				this.heartbeats::nearTargets, this.heartbeats::farTargets);
		this.claims = new Claims(this.table, this.silences, rumours, this.view, this.identity.incarnation(),
				this::reportLeaving, builder.metrics);
		Inquiries inquiries = new Inquiries(this.scheduler, builder.network, this.times);
		Jury jury = new Jury(this.table, self, own, this.random);
		this.detector = new FailureDetector(this.table, inquiries, jury, this.scheduler, this.times, this.claims,
				builder.metrics);
		this.platform = new PlatformPoll(builder.store, list, this.table, this.silences, this.relays, this.claims, own,
				this.times.suspicion(), builder.metrics);
		TableExchange exchange = new TableExchange(this.table, builder.network, this.scheduler, this.times,
				builder.metrics);
		new Receiver(this.table, this.claims, this.silences, exchange, this.detector, builder.network, own);
		this.claims.enterSelf(this.identity);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts heartbeats and polls.
	 */
	public void start() {
		this.lastTick = this.scheduler.nanos();
		this.platform.poll();
		startTimer(this.times.heartbeat(), this::tick);
		startTimer(this.times.poll(), this.platform::poll);
	}

	/**
	 * Ends heartbeats and polls.
	 */
	public void stop() {
		this.timers.forEach(Cancellable::cancel);
		this.timers.clear();
	}

	/**
	 * Marks this daemon as leaving and tells the others at once.
	 */
	public void leave() {
		this.claims.markLeaving(this.identity.incarnation().vm());
	}

	/**
	 * Adds a listener called once when this daemon is to leave: by {@link #leave()},
	 * because the platform plans to take its VM away, or because a later start of it was
	 * seen.
	 * @param listener the listener
	 */
	public void onLeave(Runnable listener) {
		this.leaveListeners.add(listener);
	}

	/**
	 * Tells the network with whom to keep connections.
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
	 * How many daemons there should be, whether they answer or not.
	 * <p>
	 * A daemon that ended by a planned stop no longer counts; one that died counts until
	 * its entry is forgotten, since a group that is cut off can't tell death from a cut.
	 * @return the number, this daemon included
	 */
	public int expected() {
		return (int) this.table.all()
			.stream()
			.filter((entry) -> entry.health() != Health.DEAD || !entry.leaving())
			.count();
	}

	/**
	 * Whether this daemon is one of the few that keep connections with those of other
	 * data centres.
	 * @return true for a relay
	 */
	public boolean isRelay() {
		return this.relays.isRelay();
	}

	/**
	 * The relays of this data centre.
	 * @return their VMs, this daemon's own if it is one
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
		return MembershipDump.of(this, this.relays, this.topology, this.silences);
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
		boolean paused = now - this.lastTick > 2 * this.times.heartbeat().toNanos();
		this.lastTick = now;
		this.detector.tick(this.topology.neighbours().predecessors());
		this.heartbeats.send();
		observeOthers(paused);
		this.platform.apply();
		this.table.forgetDead(this.times.forgetDead().toNanos());
	}

	private void observeOthers(boolean paused) {
		boolean relay = this.relays.isRelay();
		if (paused || relay != this.wasRelay) {
			this.silences.forgetObservations();
		}
		this.wasRelay = relay;
		long limit = this.times.dataCentreSilence().toNanos();
		if (relay && this.silences.observe(this.relays.otherDataCentres(), limit)) {
			this.claims.silencesChanged();
		}
	}

	private void reportLeaving() {
		if (!this.leaveReported) {
			this.leaveReported = true;
			this.leaveListeners.forEach(Runnable::run);
		}
	}

	/**
	 * Collects what membership needs; not safe for use by multiple threads.
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
