package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.region.PreferredDaemons;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Clock;

/**
 * Selects the daemons that callers should use, the entry daemons.
 *
 * <p>
 * Membership takes seconds to declare a daemon dead, and each caller that is sent to a
 * dead one in the meantime loses one of its two tries. The connections of a killed daemon
 * are closed at once, and a frozen one stops sending its load, so a daemon whose
 * connection was lost or that is unresponsive isn't returned, unless no other is left.
 * Nor is one that can't reach endpoints which others reach. {@link EntrySelection}
 * selects among the others. A daemon that has just started and has not discovered any
 * other returns no address, so that callers query another daemon or keep the answer that
 * they have. Invariant: once the daemon has been up for {@link #LARGEST_DISCOVERY_TIME},
 * the list is never empty. Confined to the scheduler's thread.
 */
final class EntryList {

	/** The most addresses in an answer, which is what callers accept. */
	static final int MAX_ADDRESSES = 64;

	/** The most VMs in a line of the log; a fleet may have 1,700 daemons. */
	private static final int MAX_LOGGED = 16;

	/** The time within which a connection that is replaced by another is open again. */
	private static final Duration RECONNECT_GRACE = Duration.ofMillis(400);

	/**
	 * The time after its start during which a daemon returns no address while it hasn't
	 * read the list of VMs, or has discovered none of those on it. After a loss of all
	 * power the small VMs of a fleet came back two seconds after the large ones; each
	 * returned only itself to its callers, and for 12 of the 19 callers of the next two
	 * seconds the median time to the first event was 1.3 s.
	 */
	private static final Duration DISCOVERY_TIME = Duration.ofSeconds(1);

	/**
	 * The time after its start during which a daemon returns no address while the list
	 * has VMs of a larger size class than any that it has discovered. Small daemons
	 * discover each other first: those that returned only small ones kept half of the
	 * callers there for three seconds.
	 */
	static final Duration LARGEST_DISCOVERY_TIME = Duration.ofSeconds(2);

	/** The time for which it is cached whether this daemon is selected. */
	private static final Duration SELECTION_CACHED = Duration.ofSeconds(1);

	private final Clock clock;

	private final long startedAt;

	private final MembershipView membership;

	private final PeerNetwork network;

	private final FleetView view;

	private final DecisionLog log;

	private final Map<PreferredDaemons, Set<VmId>> lastEntries = new HashMap<>();

	private final Map<VmId, Long> lastConnected = new HashMap<>();

	private final RandomGenerator random;

	private boolean selfSelected;

	private long selfCheckedAt;

	EntryList(Clock clock, MembershipView membership, PeerNetwork network, FleetView view, DecisionLog log,
			RandomGenerator random) {
		this.clock = clock;
		this.startedAt = clock.nanos();
		this.selfCheckedAt = this.startedAt;
		this.membership = membership;
		this.network = network;
		this.view = view;
		this.log = log;
		this.random = random;
	}

	/**
	 * Records the connected daemons; called several times a second.
	 */
	void observe() {
		Set<VmId> connected = this.network.connected();
		long now = this.clock.nanos();
		connected.forEach((vm) -> this.lastConnected.put(vm, now));
	}

	/**
	 * Returns the daemons that callers should use.
	 * @param selfLeaves whether this daemon is shutting down
	 * @param preferred the daemons to which the answer is limited if any of them responds
	 * @return {@code host:port} of each, none if this daemon has just started
	 */
	List<String> addresses(boolean selfLeaves, PreferredDaemons preferred) {
		List<Member> usable = usable(selfLeaves, preferred);
		return usable.isEmpty() ? List.of() : select(usable, preferred);
	}

	/**
	 * Whether callers are sent to this daemon.
	 * @return true if it is selected, as of the last {@link #SELECTION_CACHED}
	 */
	boolean selectsSelf() {
		long now = this.clock.nanos();
		if (now - this.selfCheckedAt > SELECTION_CACHED.toNanos()) {
			this.selfCheckedAt = now;
			VmId self = this.membership.self().vm();
			this.selfSelected = this.view.selection()
				.select(usable(false, PreferredDaemons.ANY), this.view.activeRequests())
				.stream()
				.anyMatch((member) -> member.vm().equals(self));
		}
		return this.selfSelected;
	}

	/**
	 * The daemons among which the entry daemons are selected.
	 * @param selfLeaves whether this daemon is shutting down
	 * @param preferred the daemons to which they are limited if any of them responds
	 * @return the daemons, none if this daemon has just started
	 */
	private List<Member> usable(boolean selfLeaves, PreferredDaemons preferred) {
		List<Member> reachable = new ArrayList<>();
		List<Member> suspects = new ArrayList<>();
		VmId self = this.membership.self().vm();
		for (Member member : this.membership.eligible()) {
			if (!member.vm().equals(self)) {
				boolean alive = member.state() == Member.State.ALIVE && !isDisconnectedOrUnresponsive(member.vm());
				(alive ? reachable : suspects).add(member);
			}
		}
		if (!selfLeaves && this.view.configured()) {
			this.membership.member(self).ifPresent(reachable::add);
		}
		if (isDiscovering(reachable)) {
			return List.of();
		}
		List<Member> usable = new ArrayList<>(reachable.isEmpty() ? suspects : reachable);
		if (usable.isEmpty()) {
			this.membership.member(self).ifPresent(usable::add);
		}
		return withPaths(preferred.among(usable));
	}

	/**
	 * Omits the daemons that can't reach endpoints which others of them reach.
	 * @param daemons the daemons
	 * @return the others, at least one
	 */
	private List<Member> withPaths(List<Member> daemons) {
		Set<VmId> cutOff = this.view.cutOff(daemons.stream().map(Member::vm).toList());
		return cutOff.isEmpty() ? daemons : daemons.stream().filter((member) -> !cutOff.contains(member.vm())).toList();
	}

	/**
	 * Whether this daemon has just started and has discovered too few others to send
	 * callers to them.
	 * @param reachable the daemons that it would return
	 * @return true if callers should query other daemons
	 */
	private boolean isDiscovering(List<Member> reachable) {
		if (reachable.size() > 1 && !this.view.informed()) {
			return true;
		}
		OptionalInt largestListed = this.view.largestListed();
		long uptime = this.clock.nanos() - this.startedAt;
		boolean justStarted = uptime < DISCOVERY_TIME.toNanos();
		if (largestListed.isEmpty()) {
			return justStarted;
		}
		if (largestListed.getAsInt() == FleetView.NO_OTHER_VM || uptime >= LARGEST_DISCOVERY_TIME.toNanos()) {
			return false;
		}
		boolean alone = justStarted && reachable.size() <= 1;
		int largest = reachable.stream().mapToInt((member) -> member.capacity().sizeClass()).max().orElse(0);
		return alone || largest < largestListed.getAsInt();
	}

	/**
	 * Logs the selected daemons when they change.
	 * @param entries the selected daemons
	 * @param usable the daemons among which they were selected
	 * @param preferred the preference that limited them
	 */
	private void logChange(List<Member> entries, List<Member> usable, PreferredDaemons preferred) {
		Set<VmId> names = new TreeSet<>(Comparator.comparing(VmId::value));
		entries.forEach((member) -> names.add(member.vm()));
		if (!names.equals(this.lastEntries.put(preferred, names))) {
			this.log.belief("entries", names.size(), "named", names.stream().limit(MAX_LOGGED).toList(), "usable",
					usable.size(), "known", this.membership.members().size(), "under_way", this.view.activeRequests(),
					"regions", preferred.regions());
		}
	}

	private List<String> select(List<Member> usable, PreferredDaemons preferred) {
		List<String> addresses = new ArrayList<>();
		List<Member> entries = this.view.selection().select(usable, this.view.activeRequests());
		logChange(entries, usable, preferred);
		for (Member member : EntrySelection.sample(entries, this.random)) {
			addresses.add(member.httpAddress());
		}
		if (addresses.size() > MAX_ADDRESSES) {
			Collections.shuffle(addresses, new Random(this.random.nextLong()));
		}
		return addresses.subList(0, Math.min(MAX_ADDRESSES, addresses.size()));
	}

	private boolean isDisconnectedOrUnresponsive(VmId vm) {
		Long lastSeen = this.lastConnected.get(vm);
		boolean connectionLost = lastSeen != null && this.clock.nanos() - lastSeen > RECONNECT_GRACE.toNanos();
		return connectionLost || this.view.unresponsive(vm);
	}

}
