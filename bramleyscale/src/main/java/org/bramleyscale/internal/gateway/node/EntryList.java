package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.bramleyscale.VmId;
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
 * others are named {@link EntrySelection} says. Invariant: the list is never empty while
 * any daemon is known. Confined to the scheduler's thread.
 */
final class EntryList {

	/** The most addresses in an answer: what callers take. */
	static final int MOST = 64;

	/** A connection that is replaced by another is missing for less than this. */
	private static final Duration REPLACED = Duration.ofMillis(400);

	private final Clock clock;

	private final MembershipView membership;

	private final PeerNetwork network;

	private final Predicate<VmId> unheard;

	private final Supplier<EntrySelection> selection;

	private final IntSupplier underWay;

	private final Map<VmId, Long> lastConnected = new HashMap<>();

	private final Random random = new Random();

	/**
	 * Makes a list.
	 * @param clock the daemon's clock
	 * @param membership who there is
	 * @param network to the peers
	 * @param unheard whether a daemon fell silent
	 * @param selection chooses among those that answer
	 * @param underWay requests under way in the whole fleet
	 */
	EntryList(Clock clock, MembershipView membership, PeerNetwork network, Predicate<VmId> unheard,
			Supplier<EntrySelection> selection, IntSupplier underWay) {
		this.clock = clock;
		this.membership = membership;
		this.network = network;
		this.unheard = unheard;
		this.selection = selection;
		this.underWay = underWay;
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
	 * @return {@code host:port} of each
	 */
	List<String> addresses(boolean selfLeaves) {
		List<Member> sure = new ArrayList<>();
		List<Member> others = new ArrayList<>();
		for (Member member : this.membership.eligible()) {
			boolean self = member.vm().equals(this.membership.self().vm());
			if (self && selfLeaves) {
				continue;
			}
			boolean alive = self || (member.state() == Member.State.ALIVE && !lost(member.vm()));
			(alive ? sure : others).add(member);
		}
		List<Member> usable = sure.isEmpty() ? others : sure;
		List<String> chosen = new ArrayList<>();
		this.selection.get()
			.among(usable, this.underWay.getAsInt())
			.forEach((member) -> chosen.add(member.httpAddress()));
		if (chosen.isEmpty()) {
			this.membership.member(this.membership.self().vm()).ifPresent((self) -> chosen.add(self.httpAddress()));
		}
		if (chosen.size() > MOST) {
			Collections.shuffle(chosen, this.random);
		}
		return chosen.subList(0, Math.min(MOST, chosen.size()));
	}

	private boolean lost(VmId vm) {
		Long last = this.lastConnected.get(vm);
		boolean cut = last != null && this.clock.nanos() - last > REPLACED.toNanos();
		return cut || this.unheard.test(vm);
	}

}
