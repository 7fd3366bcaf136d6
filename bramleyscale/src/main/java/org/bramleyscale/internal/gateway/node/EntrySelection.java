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
		if (usable.stream().anyMatch((member) -> !member.capacity().known())) {
			return List.copyOf(usable);
		}
		List<Member> ordered = new ArrayList<>(HASH.ranked(KEY, usable));
		ordered.sort(Comparator.comparing(this::isFirstChoice, Comparator.reverseOrder())
			.thenComparing((member) -> member.capacity().sizeClass(), Comparator.reverseOrder()));
		long needed = (long) underWay * MILLICORES_PER_REQUEST * HEADROOM;
		List<Member> chosen = new ArrayList<>();
		long cores = 0;
		for (Member member : ordered) {
			boolean enough = chosen.size() >= LEAST && cores >= needed;
			if (enough && !belongsWith(chosen.get(0), member)) {
				break;
			}
			chosen.add(member);
			cores += member.capacity().millicores();
		}
		return chosen;
	}

	private boolean isFirstChoice(Member member) {
		return !this.flat && this.relays.contains(member.vm());
	}

	/**
	 * Whether one daemon is named because another is.
	 * @param first the first that is named
	 * @param next the next in order
	 * @return true for relays, and for all of the largest size in a small fleet
	 */
	private boolean belongsWith(Member first, Member next) {
		boolean sameSize = first.capacity().sizeClass() == next.capacity().sizeClass();
		return sameSize && (this.flat || isFirstChoice(next));
	}

	/**
	 * Which of the chosen an answer names. Callers draw among the addresses of an answer
	 * evenly, so a smaller VM is in fewer answers, by its part of the largest one's
	 * cores.
	 * @param chosen the daemons chosen
	 * @param random draws
	 * @return some of them, the largest among them
	 */
	static List<Member> draw(List<Member> chosen, RandomGenerator random) {
		int largest = chosen.stream().mapToInt((member) -> member.capacity().millicores()).max().orElse(0);
		return chosen.stream()
			.filter((member) -> random.nextInt(Math.max(1, largest)) < Math.max(1, member.capacity().millicores()))
			.toList();
	}

}
