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
 * Chooses whom to ask about a silent daemon and judges whether it may be declared dead.
 *
 * <p>
 * A daemon that is cut off hears nobody and might declare everybody dead. It would notice
 * nothing itself, but once connected again it would spread its verdicts and send callers
 * away from healthy entries. So all of the data centre is asked, and a verdict needs a
 * majority that answers: more than half of the jury, and fewer silent members than
 * members and jurors from elsewhere that can be heard. When two halves lose each other,
 * neither declares the other dead. A sample won't do: with half of a data centre out of
 * reach a sample of nine finds a majority now and then, and one verdict is enough to
 * reach all. Confined to the scheduler's thread.
 */
final class Jury {

	private static final int HELPERS = 3;

	private static final int SMALLEST_JURY = 9;

	private static final int LARGEST_JURY = 100;

	private final MemberTable table;

	private final VmId self;

	private final DataCentre dataCentre;

	private final RandomGenerator random;

	Jury(MemberTable table, VmId self, DataCentre dataCentre, RandomGenerator random) {
		this.table = table;
		this.self = self;
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Whom to ask before a daemon is suspected.
	 * @param target the silent daemon
	 * @return a few alive members
	 */
	List<VmId> helpers(VmId target) {
		return choose(target, HELPERS, HELPERS, true);
	}

	/**
	 * Whom to ask before a daemon is declared dead. Suspects are asked too: leaving out
	 * all that this daemon doesn't hear would make any jury unanimous.
	 * @param target the silent daemon
	 * @return the members of the own data centre, filled up with others if it is small
	 */
	List<VmId> jurors(VmId target) {
		return choose(target, LARGEST_JURY, SMALLEST_JURY, false);
	}

	/**
	 * Whether a daemon that nobody heard may be declared dead. The end of a leaving one
	 * is expected, so nobody left to ask is no reason to doubt it; a juror that doesn't
	 * answer is.
	 * @param outcome what the jurors answered
	 * @param leaving whether the daemon said that it leaves
	 * @return false if this daemon should rather doubt its own connections
	 */
	boolean convicts(Inquiries.Outcome outcome, boolean leaving) {
		if (leaving && outcome.unanswered().isEmpty()) {
			return true;
		}
		int heard = outcome.answered().size() + 1;
		int silent = outcome.unanswered().size() + 1;
		return heard > silent;
	}

	private List<VmId> choose(VmId target, int most, int least, boolean aliveOnly) {
		List<VmId> near = new ArrayList<>();
		List<VmId> far = new ArrayList<>();
		for (MemberEntry entry : this.table.all()) {
			boolean fit = entry.health() == Health.ALIVE || (!aliveOnly && entry.health() == Health.SUSPECT);
			if (fit && !entry.leaving() && !entry.vm().equals(target) && !entry.vm().equals(this.self)) {
				(entry.identity().dataCentre().equals(this.dataCentre) ? near : far).add(entry.vm());
			}
		}
		List<VmId> chosen = sample(near, most);
		chosen.addAll(sample(far, Math.max(0, least - chosen.size())));
		return chosen;
	}

	private List<VmId> sample(Collection<VmId> members, int count) {
		List<VmId> shuffled = new ArrayList<>(members);
		Collections.shuffle(shuffled, new Random(this.random.nextLong()));
		return new ArrayList<>(shuffled.subList(0, Math.min(count, shuffled.size())));
	}

}
