package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * Selects the daemons to ask about an unresponsive one and decides whether it may be
 * declared dead.
 *
 * <p>
 * A partitioned daemon receives no heartbeats and might declare all others dead. It would
 * not notice its own failure, but after the partition healed it would gossip these claims
 * and direct callers away from healthy entries. So all members of the data centre are
 * asked, and a declaration of death needs a majority that answers: more than half of the
 * quorum, and fewer unresponsive members than responsive members and voters from other
 * data centres. When a data centre splits into two halves, neither declares the other
 * dead. A sample of the members isn't enough: with half of a data centre unreachable, a
 * sample of nine sometimes finds a majority, and a single declaration reaches all
 * daemons. Confined to the scheduler's thread.
 */
final class DeathQuorum {

	private static final int HELPERS = 3;

	private static final int MIN_VOTERS = 9;

	private static final int MAX_VOTERS = 100;

	private final MemberTable table;

	private final VmId self;

	private final DataCentre dataCentre;

	private final RandomGenerator random;

	DeathQuorum(MemberTable table, VmId self, DataCentre dataCentre, RandomGenerator random) {
		this.table = table;
		this.self = self;
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Selects the daemons to ask before a daemon is suspected.
	 * @param target the unresponsive daemon
	 * @return a few alive members
	 */
	List<VmId> helpers(VmId target) {
		return choose(target, HELPERS, HELPERS, true);
	}

	/**
	 * Selects the daemons to ask before a daemon is declared dead. Suspects are asked
	 * too: without the members that this daemon can't reach, every quorum would be
	 * unanimous.
	 * @param target the unresponsive daemon
	 * @return the members of the local data centre, supplemented by others if it is small
	 */
	List<VmId> voters(VmId target) {
		return choose(target, MAX_VOTERS, MIN_VOTERS, false);
	}

	/**
	 * Whether a daemon that nobody reached may be declared dead. The end of a leaving
	 * daemon is expected, so the absence of voters is no reason to doubt it; a voter that
	 * doesn't answer is.
	 * @param outcome the answers of the voters
	 * @param leaving whether the daemon has announced that it is leaving
	 * @return false if this daemon's own connections may be the cause
	 */
	boolean confirmsDeath(Inquiries.Outcome outcome, boolean leaving) {
		if (leaving && outcome.unanswered().isEmpty()) {
			return true;
		}
		int responsive = outcome.answered().size() + 1;
		int unresponsive = outcome.unanswered().size() + 1;
		return responsive > unresponsive;
	}

	private List<VmId> choose(VmId target, int max, int min, boolean aliveOnly) {
		List<VmId> local = new ArrayList<>();
		List<VmId> remote = new ArrayList<>();
		for (MemberEntry entry : this.table.all()) {
			boolean eligible = entry.health() == Health.ALIVE || (!aliveOnly && entry.health() == Health.SUSPECT);
			if (eligible && !entry.leaving() && !entry.vm().equals(target) && !entry.vm().equals(this.self)) {
				(entry.identity().dataCentre().equals(this.dataCentre) ? local : remote).add(entry.vm());
			}
		}
		List<VmId> chosen = sample(local, max);
		chosen.addAll(sample(remote, Math.max(0, min - chosen.size())));
		return chosen;
	}

	private List<VmId> sample(Collection<VmId> members, int count) {
		List<VmId> shuffled = new ArrayList<>(members);
		Collections.shuffle(shuffled, new Random(this.random.nextLong()));
		return new ArrayList<>(shuffled.subList(0, Math.min(count, shuffled.size())));
	}

}
