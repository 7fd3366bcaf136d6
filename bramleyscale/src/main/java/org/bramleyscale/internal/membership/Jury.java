package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

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

	private static final long UNANSWERED_NANOS = 10_000_000_000L;

	private static final long RECENT_DEATH_NANOS = 60_000_000_000L;

	private final MemberTable table;

	private final VmId self;

	private final DataCentre dataCentre;

	private final Clock clock;

	private final RandomGenerator random;

	private final Map<VmId, Long> unansweredAt = new HashMap<>();

	Jury(MemberTable table, VmId self, DataCentre dataCentre, Clock clock, RandomGenerator random) {
		this.table = table;
		this.self = self;
		this.dataCentre = dataCentre;
		this.clock = clock;
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
	 * Remembers who didn't answer.
	 * @param outcome the outcome of any inquiry
	 */
	void note(Inquiries.Outcome outcome) {
		long now = this.clock.nanos();
		outcome.answered().forEach(this.unansweredAt::remove);
		outcome.unanswered().forEach((vm) -> this.unansweredAt.put(vm, now));
		this.unansweredAt.values().removeIf((at) -> now - at > UNANSWERED_NANOS);
	}

	/**
	 * Whether a daemon that nobody heard may be declared dead.
	 * @param outcome what the jurors answered
	 * @return false if this daemon should rather doubt its own connections
	 */
	boolean convicts(Inquiries.Outcome outcome) {
		int answered = outcome.answered().size();
		int asked = answered + outcome.unanswered().size();
		if (2 * answered <= asked) {
			return false;
		}
		long fromElsewhere = outcome.answered().stream().filter((vm) -> !isOwn(vm)).count();
		return 2 * silent() < size() + fromElsewhere;
	}

	private int silent() {
		long now = this.clock.nanos();
		Set<VmId> silent = new HashSet<>();
		for (MemberEntry entry : this.table.all()) {
			Long unanswered = this.unansweredAt.get(entry.vm());
			boolean noAnswer = unanswered != null && now - unanswered <= UNANSWERED_NANOS;
			if (counts(entry) && (entry.health() != Health.ALIVE || noAnswer)) {
				silent.add(entry.vm());
			}
		}
		return silent.size();
	}

	private int size() {
		return (int) this.table.all().stream().filter(this::counts).count();
	}

	private boolean counts(MemberEntry entry) {
		boolean present = entry.health() != Health.DEAD || this.table.diedWithin(entry.vm(), RECENT_DEATH_NANOS);
		return present && !entry.leaving() && entry.identity().dataCentre().equals(this.dataCentre);
	}

	private boolean isOwn(VmId vm) {
		return this.table.get(vm).filter((entry) -> entry.identity().dataCentre().equals(this.dataCentre)).isPresent();
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
