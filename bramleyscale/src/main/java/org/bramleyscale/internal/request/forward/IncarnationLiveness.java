package org.bramleyscale.internal.request.forward;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;

/**
 * Determines from the membership view whether an incarnation of a daemon is this daemon,
 * and whether it is lost.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class IncarnationLiveness {

	private final MembershipView membership;

	public IncarnationLiveness(MembershipView membership) {
		this.membership = membership;
	}

	public boolean self(Incarnation incarnation) {
		return this.membership.self().equals(incarnation);
	}

	/**
	 * Whether an incarnation of a daemon is lost permanently.
	 * @param incarnation the incarnation
	 * @return true if the VM is unknown, the incarnation is dead, or the VM runs a later
	 * incarnation; false also if the view is older than the incarnation, which is then
	 * expected to answer messages itself
	 */
	public boolean lost(Incarnation incarnation) {
		if (incarnation.vm().equals(this.membership.self().vm())) {
			return !self(incarnation);
		}
		return this.membership.member(incarnation.vm()).map((member) -> lost(member, incarnation)).orElse(true);
	}

	private static boolean lost(Member member, Incarnation incarnation) {
		long start = member.incarnation().start();
		if (start != incarnation.start()) {
			return start > incarnation.start();
		}
		return member.state() == Member.State.DEAD;
	}

}
