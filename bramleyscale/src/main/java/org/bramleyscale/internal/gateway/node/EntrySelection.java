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
 * Selects the daemons that callers should use: the largest, and as few as carry the load.
 *
 * <p>
 * Daemons place requests by what they know of each other's load, and the updates of a few
 * daemons arrive sooner than those of many. On simulated engines (hire-desk-shifted, 6
 * seeds) 91 daemons that exchange their load through sums after 200 ms earn 0.949 of the
 * worth of all requests, six that exchange it within 25 ms 0.984. A large VM is also
 * available sooner after an outage of all: a start takes 0.9 s of a core, which is 0.6 s
 * on 1.5 cores and 2.5 s on 0.36. Daemons that aren't selected still serve every request
 * that they receive.
 *
 * <p>
 * In a large fleet relays are preferred, since they exchange updates directly; in a small
 * one all daemons of a size class are selected together, as each sends its updates to
 * all. Invariant: the selection isn't empty if any daemon is usable. Immutable and safe
 * for use by multiple threads.
 *
 * @param flat whether all daemons send their updates to all
 * @param relays the relays of all data centres
 */
record EntrySelection(boolean flat, Set<VmId> relays) {

	/** The fewest daemons selected: if one fails, callers know another. */
	static final int MIN_DAEMONS = 2;

	/**
	 * The capacity that an active request takes, in thousandths of a core: a stream of 30
	 * events in 1.5 s takes some 7 ms of processor time including its share of all other
	 * work of a daemon.
	 */
	static final int MILLICORES_PER_REQUEST = 5;

	/**
	 * The capacity required, as a multiple of the current load. A burst brings 2.5 times
	 * the load within a second, sooner than callers query addresses again. With 5 instead
	 * of 3, three VMs of half a core counted as too few for the sixty requests that
	 * arrive at once after a loss of power; fifteen of 0.12 of a core that had just
	 * started were selected in addition, and took five of six callers.
	 */
	static final int HEADROOM = 3;

	private static final String HASH_KEY = "entry";

	private static final RendezvousHash<Member> HASH = new RendezvousHash<>((member) -> member.vm().value());

	EntrySelection {
		relays = Set.copyOf(relays);
	}

	/**
	 * Selects among daemons.
	 * @param usable the daemons that respond
	 * @param activeRequests the active requests of the whole fleet
	 * @return the selected daemons; all if the size of one isn't known
	 */
	List<Member> select(Collection<Member> usable, int activeRequests) {
		if (!allSizesKnown(usable)) {
			return List.copyOf(usable);
		}
		long needed = (long) activeRequests * MILLICORES_PER_REQUEST * HEADROOM;
		List<Member> selected = new ArrayList<>();
		for (Member member : ranked(usable.stream().filter(this::isPreferred).toList())) {
			// All daemons of the largest size class are selected together.
			if (!sufficient(selected, needed) || sizeClass(member) == sizeClass(selected.get(0))) {
				selected.add(member);
			}
		}
		if (sufficient(selected, needed)) {
			return selected;
		}
		for (Member member : ranked(usable.stream().filter((member) -> !isPreferred(member)).toList())) {
			if (!sufficient(selected, needed)) {
				selected.add(member);
			}
		}
		return selected;
	}

	private static boolean allSizesKnown(Collection<Member> members) {
		return members.stream().allMatch((member) -> member.capacity().known());
	}

	private boolean isPreferred(Member member) {
		return this.flat || this.relays.contains(member.vm());
	}

	/**
	 * Sorts by size class, and by a hash within a class.
	 * @param members the daemons
	 * @return the daemons, the largest first
	 */
	private static List<Member> ranked(Collection<Member> members) {
		List<Member> ranked = new ArrayList<>(HASH.ranked(HASH_KEY, members));
		ranked.sort(Comparator.comparingInt(EntrySelection::sizeClass).reversed());
		return ranked;
	}

	private static int sizeClass(Member member) {
		return member.capacity().sizeClass();
	}

	private static boolean sufficient(List<Member> selected, long needed) {
		return selected.size() >= MIN_DAEMONS
				&& selected.stream().mapToLong((member) -> member.capacity().millicores()).sum() >= needed;
	}

	/**
	 * Samples the selected daemons that an answer contains. Callers pick among the
	 * addresses of an answer uniformly, so a smaller VM is in fewer answers, in
	 * proportion to its part of the largest one's cores.
	 * @param selected the selected daemons
	 * @param random the random generator
	 * @return some of them, the largest included; all if the size of one isn't known
	 */
	static List<Member> sample(List<Member> selected, RandomGenerator random) {
		int largest = selected.stream().mapToInt((member) -> member.capacity().millicores()).max().orElse(0);
		if (!allSizesKnown(selected)) {
			return selected;
		}
		return selected.stream().filter((member) -> random.nextInt(largest) < member.capacity().millicores()).toList();
	}

}
