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

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Clock;

/**
 * Tells callers which daemons to use.
 *
 * <p>
 * Membership takes seconds to be sure that a daemon is dead, and each caller that is sent
 * to it in the meantime loses one of its two tries. A killed daemon's connections end at
 * once, and a frozen one stops telling its work, so a daemon with which the connection
 * was lost or that isn't heard isn't named, unless nobody else is left. Which of the
 * others are named {@link EntrySelection} says. A daemon that has just started and knows
 * nobody names nobody, so that callers ask another or keep the answer that they have.
 * Invariant: once it has been there for a moment, the list is never empty. Confined to
 * the scheduler's thread.
 */
final class EntryList {

	/** The most addresses in an answer: what callers take. */
	static final int MOST = 64;

	/** Names in a line of the log; a fleet may have 1,700 daemons. */
	private static final int MOST_LOGGED = 16;

	/** A connection that is replaced by another is missing for less than this. */
	private static final Duration REPLACED = Duration.ofMillis(400);

	/**
	 * For so long a daemon that has just started names nobody while it hasn't read the
	 * list of VMs, or has met none of those on it. After a loss of all power the small
	 * VMs of a fleet came back two seconds after the large ones; each named only itself
	 * to who asked it, and 12 of 19 callers of the next two seconds had their first event
	 * after 1.3 s in the middle.
	 */
	private static final Duration ACQUAINTED = Duration.ofSeconds(1);

	/**
	 * For so long it names nobody either while the list has VMs of a larger size than any
	 * that it has met. Small daemons meet each other first: those that named only small
	 * ones kept half of the callers there for three seconds.
	 */
	static final Duration LARGEST_MET = Duration.ofSeconds(2);

	private final Clock clock;

	private final long startedAt;

	private final MembershipView membership;

	private final PeerNetwork network;

	private final FleetKnowledge knowledge;

	private final DecisionLog log;

	private Set<VmId> lastNamed = Set.of();

	private final Map<VmId, Long> lastConnected = new HashMap<>();

	private final Random random = new Random();

	EntryList(Clock clock, MembershipView membership, PeerNetwork network, FleetKnowledge knowledge, DecisionLog log) {
		this.clock = clock;
		this.startedAt = clock.nanos();
		this.membership = membership;
		this.network = network;
		this.knowledge = knowledge;
		this.log = log;
	}

	/**
	 * Notes who is connected; called several times a second.
	 */
	void observe() {
		Set<VmId> connected = this.network.connected();
		long now = this.clock.nanos();
		connected.forEach((vm) -> this.lastConnected.put(vm, now));
	}

	/**
	 * The daemons that callers should use.
	 * @param selfLeaves whether this daemon leaves
	 * @return {@code host:port} of each, none if this daemon has just started
	 */
	List<String> addresses(boolean selfLeaves) {
		List<Member> sure = new ArrayList<>();
		List<Member> others = new ArrayList<>();
		VmId self = this.membership.self().vm();
		for (Member member : this.membership.eligible()) {
			if (!member.vm().equals(self)) {
				boolean alive = member.state() == Member.State.ALIVE && !lost(member.vm());
				(alive ? sure : others).add(member);
			}
		}
		if (!selfLeaves && this.knowledge.informed()) {
			this.membership.member(self).ifPresent(sure::add);
		}
		if (isStranger(sure)) {
			return List.of();
		}
		List<Member> usable = new ArrayList<>(sure.isEmpty() ? others : sure);
		if (usable.isEmpty()) {
			this.membership.member(self).ifPresent(usable::add);
		}
		return chosen(usable);
	}

	/**
	 * Whether this daemon has just started and knows too few others to send callers to.
	 * @param sure the daemons that it would name
	 * @return true if others should be asked
	 */
	private boolean isStranger(List<Member> sure) {
		OptionalInt largestListed = this.knowledge.largestListed();
		long since = this.clock.nanos() - this.startedAt;
		boolean fresh = since < ACQUAINTED.toNanos();
		if (largestListed.isEmpty()) {
			return fresh;
		}
		if (largestListed.getAsInt() == FleetKnowledge.NO_OTHER || since >= LARGEST_MET.toNanos()) {
			return false;
		}
		boolean alone = fresh && sure.size() <= 1;
		int largest = sure.stream().mapToInt((member) -> member.capacity().sizeClass()).max().orElse(0);
		return alone || largest < largestListed.getAsInt();
	}

	/**
	 * Notes whom callers are sent to, when that changes.
	 * @param entries the daemons chosen
	 * @param usable those among which they were chosen
	 */
	private void note(List<Member> entries, List<Member> usable) {
		Set<VmId> named = new TreeSet<>(Comparator.comparing(VmId::value));
		entries.forEach((member) -> named.add(member.vm()));
		if (!named.equals(this.lastNamed)) {
			this.lastNamed = named;
			this.log.belief("entries", named.size(), "named", named.stream().limit(MOST_LOGGED).toList(), "usable",
					usable.size(), "known", this.membership.members().size(), "under_way", this.knowledge.underWay());
		}
	}

	private List<String> chosen(List<Member> usable) {
		List<String> chosen = new ArrayList<>();
		List<Member> entries = this.knowledge.selection().among(usable, this.knowledge.underWay());
		note(entries, usable);
		for (Member member : EntrySelection.draw(entries, this.random)) {
			chosen.add(member.httpAddress());
		}
		if (chosen.size() > MOST) {
			Collections.shuffle(chosen, this.random);
		}
		return chosen.subList(0, Math.min(MOST, chosen.size()));
	}

	private boolean lost(VmId vm) {
		Long last = this.lastConnected.get(vm);
		boolean cut = last != null && this.clock.nanos() - last > REPLACED.toNanos();
		return cut || this.knowledge.unheard(vm);
	}

}
