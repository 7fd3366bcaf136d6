package org.bramleyscale.internal.request.forward;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;

/**
 * Where the home of a request is, as far as membership tells.
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
	 * Whether a daemon is gone for good.
	 * @param home the incarnation
	 * @return true if it is unknown, dead, or its VM runs a later start; false also if
	 * the view is older than the incarnation, which then answers for itself
	 */
	public boolean gone(Incarnation home) {
		if (home.vm().equals(this.membership.self().vm())) {
			return !self(home);
		}
		return this.membership.member(home.vm()).map((member) -> gone(member, home)).orElse(true);
	}

	private static boolean gone(Member member, Incarnation home) {
		long start = member.incarnation().start();
		if (start != home.start()) {
			return start > home.start();
		}
		return member.state() == Member.State.DEAD;
	}

}
