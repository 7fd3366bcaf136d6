package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.Incarnation;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.follow.FleetGossip;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Knows which daemons of the fleet can't reach services that others reach.
 *
 * <p>
 * Each daemon announces only what it can't reach itself, at once and then every
 * {@link #RENEWAL} while that lasts. Whose fault it is follows from a comparison: a
 * service that no daemon reaches is down, and cuts off nobody. Invariant: of any daemons
 * at least one counts as not cut off. Confined to the scheduler's thread.
 */
public final class FleetReachability implements FleetGossip.State<ReachabilityUpdate> {

	/** The interval at which a daemon repeats what it can't reach. */
	static final Duration RENEWAL = Duration.ofSeconds(5);

	/** The interval between checks whether a peer is connected after a start. */
	private static final Duration GREETING_INTERVAL = Duration.ofMillis(100);

	/** The number of the first announcement of each start. */
	private static final long GREETING_VERSION = 1;

	/** When a new announcement is repeated, for peers that missed it. */
	static final List<Duration> REPEATS = List.of(Duration.ofMillis(400), Duration.ofMillis(1_200),
			Duration.ofMillis(2_400));

	/** An announcement expires after this; two may be lost before that. */
	static final Duration EXPIRY = RENEWAL.multipliedBy(3);

	/**
	 * Time after the first announcement of a start within which peers that know of losses
	 * have replied, also to its first repetition.
	 */
	static final Duration LEARNING_TIME = Duration.ofMillis(600);

	/** Maximum number of daemons in a repeated message: 40 bytes each. */
	private static final int MAX_REPEATED = 40;

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final Incarnation self;

	private final DecisionLog log;

	private final FleetGossip<ReachabilityUpdate> gossip;

	private final Consumer<Collection<ServiceName>> peerLossListener;

	private final Map<VmId, Announcement> announcements = new HashMap<>();

	private final long startedAt;

	private long version;

	private boolean informedByPeer;

	/**
	 * Creates an instance and starts to exchange announcements with peers.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param self this daemon
	 * @param peerLossListener called with the services that a peer has just lost
	 * @param log the decision log
	 */
	public FleetReachability(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, Incarnation self,
			Consumer<Collection<ServiceName>> peerLossListener, DecisionLog log) {
		this.scheduler = scheduler;
		this.startedAt = scheduler.nanos();
		this.self = self;
		this.peerLossListener = peerLossListener;
		this.log = log;
		this.gossip = new FleetGossip<>(scheduler, network, routes, ReachabilityUpdate.class, this);
		this.network = network;
		scheduler.repeat(RENEWAL, this::renew);
		greet();
	}

	/**
	 * Announces this start as soon as a peer is connected, so that peers forget what an
	 * earlier one announced and reply with what they know.
	 */
	private void greet() {
		if (this.version > 0) {
			return;
		}
		if (this.network.connected().isEmpty()) {
			this.scheduler.schedule(GREETING_INTERVAL, this::greet);
			return;
		}
		publish(Set.of());
	}

	/**
	 * Registers this package's peer messages.
	 * @param builder the message catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(108, ReachabilityUpdate.class, "UnreachableTold");
	}

	/**
	 * Announces the services that this daemon can't reach, if they have changed.
	 * @param unreachable the services, empty if it reaches all
	 */
	public void announce(Set<ServiceName> unreachable) {
		if (!unreachable.equals(unreachable(this.self.vm()))) {
			publish(unreachable);
		}
	}

	private void publish(Set<ServiceName> unreachable) {
		publishOnce(unreachable);
		long published = this.version;
		for (Duration delay : REPEATS) {
			this.scheduler.schedule(delay, () -> {
				if (this.version == published) {
					this.gossip.publish(new ReachabilityUpdate(
							List.of(toMessage(this.self.vm(), this.announcements.get(this.self.vm())))));
				}
			});
		}
	}

	private void publishOnce(Set<ServiceName> unreachable) {
		Announcement own = new Announcement(this.self.start(), ++this.version, Set.copyOf(unreachable),
				this.scheduler.nanos());
		this.announcements.put(this.self.vm(), own);
		this.gossip.publish(new ReachabilityUpdate(List.of(toMessage(this.self.vm(), own))));
	}

	/**
	 * Determines which of several daemons can't reach a service that another of them
	 * reaches.
	 * @param daemons the daemons
	 * @return those that are cut off; empty if that would be all
	 */
	public Set<VmId> cutOff(Collection<VmId> daemons) {
		Map<ServiceName, Set<VmId>> withoutPath = new HashMap<>();
		for (VmId vm : daemons) {
			unreachable(vm)
				.forEach((service) -> withoutPath.computeIfAbsent(service, (key) -> new HashSet<>()).add(vm));
		}
		Set<VmId> cutOff = new HashSet<>();
		withoutPath.values().stream().filter((vms) -> vms.size() < daemons.size()).forEach(cutOff::addAll);
		return (cutOff.size() < daemons.size()) ? cutOff : Set.of();
	}

	/**
	 * Whether this daemon has learnt since its start what its peers can't reach.
	 * @return false for a short time after its start
	 */
	public boolean informed() {
		return this.informedByPeer || this.scheduler.nanos() - this.startedAt >= LEARNING_TIME.toNanos();
	}

	/**
	 * The number of daemons that have announced services that they can't reach.
	 * @return the number, this one included
	 */
	public int announcingCount() {
		return (int) this.announcements.keySet().stream().filter((vm) -> !unreachable(vm).isEmpty()).count();
	}

	@Override
	public Optional<ReachabilityUpdate> digest() {
		this.announcements.values().removeIf(this::expired);
		List<ReachabilityUpdate.Daemon> daemons = new ArrayList<>();
		this.announcements.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().worthRepeating())
			.limit(MAX_REPEATED)
			.forEach((entry) -> daemons.add(toMessage(entry.getKey(), entry.getValue())));
		return toMessage(daemons);
	}

	@Override
	public Optional<ReachabilityUpdate> merge(Incarnation from, ReachabilityUpdate message) {
		List<ReachabilityUpdate.Daemon> daemons = new ArrayList<>(
				(message.daemons() != null) ? message.daemons() : List.of());
		boolean greeted = daemons.stream().anyMatch((daemon) -> isGreeting(from, daemon));
		daemons.removeIf((daemon) -> !merge(daemon));
		this.informedByPeer |= !greeted;
		if (greeted) {
			digest().ifPresent((digest) -> this.network.send(from.vm(), digest));
		}
		return toMessage(daemons);
	}

	private static boolean isGreeting(Incarnation from, ReachabilityUpdate.Daemon daemon) {
		return from.vm().value().equals(daemon.vm()) && daemon.version() == GREETING_VERSION;
	}

	private boolean merge(ReachabilityUpdate.Daemon daemon) {
		VmId vm = new VmId(daemon.vm());
		Announcement known = this.announcements.get(vm);
		if (vm.equals(this.self.vm()) || (known != null && !known.olderThan(daemon))) {
			return false;
		}
		Set<ServiceName> services = new HashSet<>();
		daemon.unreachable().forEach((service) -> services.add(new ServiceName(service)));
		Set<ServiceName> before = unreachable(vm);
		this.announcements.put(vm,
				new Announcement(daemon.start(), daemon.version(), Set.copyOf(services), this.scheduler.nanos()));
		if (!services.equals(before)) {
			this.log.belief("daemon", vm, "unreachable", services);
			services.removeAll(before);
			this.peerLossListener.accept(services);
		}
		return true;
	}

	private void renew() {
		Set<ServiceName> unreachable = unreachable(this.self.vm());
		if (!unreachable.isEmpty()) {
			publishOnce(unreachable);
		}
	}

	private Set<ServiceName> unreachable(VmId vm) {
		Announcement known = this.announcements.get(vm);
		return (known != null && !expired(known)) ? known.unreachable : Set.of();
	}

	private boolean expired(Announcement announcement) {
		return this.scheduler.nanos() - announcement.at > EXPIRY.toNanos();
	}

	private static ReachabilityUpdate.Daemon toMessage(VmId vm, Announcement announcement) {
		return new ReachabilityUpdate.Daemon(vm.value(), announcement.start, announcement.version,
				announcement.unreachable.stream().map(ServiceName::value).toList());
	}

	private static Optional<ReachabilityUpdate> toMessage(List<ReachabilityUpdate.Daemon> daemons) {
		return daemons.isEmpty() ? Optional.empty() : Optional.of(new ReachabilityUpdate(daemons));
	}

	/**
	 * The latest announcement of a daemon.
	 *
	 * @param start the daemon's start
	 * @param version the number of the announcement
	 * @param unreachable the services that it can't reach
	 * @param at when this daemon received it
	 */
	private record Announcement(long start, long version, Set<ServiceName> unreachable, long at) {

		/**
		 * Whether a peer that missed this announcement would be wrong about the daemon.
		 * @return false if the daemon has only told that it has started
		 */
		private boolean worthRepeating() {
			return this.version > GREETING_VERSION || !this.unreachable.isEmpty();
		}

		private boolean olderThan(ReachabilityUpdate.Daemon other) {
			return this.start < other.start() || (this.start == other.start() && this.version < other.version());
		}

	}

}
