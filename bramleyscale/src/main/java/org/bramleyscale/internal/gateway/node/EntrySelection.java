package org.bramleyscale.internal.gateway.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.membership.Member;

/**
 * Chooses the daemons that callers should use: the largest, and as few as carry the load.
 *
 * <p>
 * Daemons decide by what they know of each other's work, and what few tell each other is
 * known sooner than what many do. On modelled engines (hire-desk-shifted, 6 seeds) 91
 * daemons that hear of each other through sums after 200 ms earn 0.949 of the worth, six
 * that hear within 25 ms 0.984. A large VM is also back sooner after a loss of all: a
 * start takes 0.9 s of a core, which is 0.6 s on 1.5 cores and 2.5 s on 0.36. Those that
 * aren't named serve whoever comes all the same.
 *
 * <p>
 * In a large fleet relays come first, since they tell each other directly; in a small one
 * all of a size are named together, as all tell all. Invariant: somebody is named
 * wherever anybody can be. Immutable and safe for use by multiple threads.
 *
 * @param flat whether all daemons tell all
 * @param relays the relays of all data centres
 */
record EntrySelection(boolean flat, Set<VmId> relays) {

	/** One that dies leaves another that callers know. */
	static final int LEAST = 2;

	/**
	 * What a request under way takes, in thousandths of a core: a stream of 30 events in
	 * 1.5 s takes some 7 ms of processor time with its share of all else that a daemon
	 * does.
	 */
	static final int MILLICORES_PER_REQUEST = 5;

	/**
	 * A burst brings 2.5 times as much within a second, sooner than callers ask again.
	 * With 5 instead of 3, three VMs of half a core counted as too few for the sixty
	 * requests that come back at once after a loss of power; fifteen of 0.12 of a core
	 * that had just started were named beside them, and took five of six callers.
	 */
	static final int HEADROOM = 3;

	private static final String KEY = "entry";

	private static final RendezvousHash<Member> HASH = new RendezvousHash<>((member) -> member.vm().value());

	EntrySelection {
		relays = Set.copyOf(relays);
	}

	/**
	 * Chooses among daemons.
	 * @param usable the daemons that answer
	 * @param underWay requests under way in the whole fleet
	 * @return the daemons to name; all if the size of one isn't known
	 */
	List<Member> among(Collection<Member> usable, int underWay) {
		if (!allKnown(usable)) {
			return List.copyOf(usable);
		}
		long needed = (long) underWay * MILLICORES_PER_REQUEST * HEADROOM;
		List<Member> chosen = new ArrayList<>();
		for (Member member : ranked(usable.stream().filter(this::isFirstChoice).toList())) {
			// One of the largest size is named with all others of it.
			if (!enough(chosen, needed) || sizeClass(member) == sizeClass(chosen.get(0))) {
				chosen.add(member);
			}
		}
		if (enough(chosen, needed)) {
			return chosen;
		}
		for (Member member : ranked(usable.stream().filter((any) -> !isFirstChoice(any)).toList())) {
			if (!enough(chosen, needed)) {
				chosen.add(member);
			}
		}
		return chosen;
	}

	private static boolean allKnown(Collection<Member> members) {
		return members.stream().allMatch((member) -> member.capacity().known());
	}

	private boolean isFirstChoice(Member member) {
		return this.flat || this.relays.contains(member.vm());
	}

	/**
	 * Sorts by size, and by a hash among those of a size.
	 * @param members the daemons
	 * @return the daemons, the largest at the front
	 */
	private static List<Member> ranked(Collection<Member> members) {
		List<Member> ranked = new ArrayList<>(HASH.ranked(KEY, members));
		ranked.sort(Comparator.comparingInt(EntrySelection::sizeClass).reversed());
		return ranked;
	}

	private static int sizeClass(Member member) {
		return member.capacity().sizeClass();
	}

	private static boolean enough(List<Member> chosen, long needed) {
		return chosen.size() >= LEAST
				&& chosen.stream().mapToLong((member) -> member.capacity().millicores()).sum() >= needed;
	}

	/**
	 * Which of the chosen an answer names. Callers draw among the addresses of an answer
	 * evenly, so a smaller VM is in fewer answers, by its part of the largest one's
	 * cores.
	 * @param chosen the daemons chosen
	 * @param random draws
	 * @return some of them, the largest among them; all if the size of one isn't known
	 */
	static List<Member> draw(List<Member> chosen, RandomGenerator random) {
		int largest = chosen.stream().mapToInt((member) -> member.capacity().millicores()).max().orElse(0);
		if (!allKnown(chosen)) {
			return chosen;
		}
		return chosen.stream().filter((member) -> random.nextInt(largest) < member.capacity().millicores()).toList();
	}

}
