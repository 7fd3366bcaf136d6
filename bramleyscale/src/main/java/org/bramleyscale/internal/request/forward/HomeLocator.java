package org.bramleyscale.internal.request.forward;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;

/**
 * Determines from the membership view whether the home daemon of a request is this daemon
 * or is lost.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class HomeLocator {

	private final MembershipView membership;

	public HomeLocator(MembershipView membership) {
		this.membership = membership;
	}

	public boolean self(Incarnation home) {
		return this.membership.self().equals(home);
	}

	/**
	 * Whether an incarnation of a daemon is lost permanently.
	 * @param home the incarnation
	 * @return true if the VM is unknown, the incarnation is dead, or the VM runs a later
	 * incarnation; false also if the view is older than the incarnation, which can still
	 * answer itself
	 */
	public boolean lost(Incarnation home) {
		if (home.vm().equals(this.membership.self().vm())) {
			return !self(home);
		}
		return this.membership.member(home.vm()).map((member) -> lost(member, home)).orElse(true);
	}

	private static boolean lost(Member member, Incarnation home) {
		long start = member.incarnation().start();
		if (start != home.start()) {
			return start > home.start();
		}
		return member.state() == Member.State.DEAD;
	}

}
