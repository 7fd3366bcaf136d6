package org.bramleyscale.internal.node;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;

/**
 * Members that don't change.
 */
record FixedMembers(Incarnation self, Collection<Member> members) implements MembershipView {

	static Member member(String vm, Member.State state) {
		return new Member(incarnation(vm), new DataCentre("rawang"), vm + ":1", vm + ":2", state);
	}

	static Incarnation incarnation(String vm) {
		return new Incarnation(new VmId(vm), 1);
	}

	@Override
	public DataCentre dataCentre() {
		return new DataCentre("rawang");
	}

	@Override
	public Optional<Member> member(VmId vm) {
		return this.members.stream().filter((member) -> member.vm().equals(vm)).findFirst();
	}

	@Override
	public List<Member> eligible() {
		return List.copyOf(this.members);
	}

	@Override
	public void onChange(Runnable listener) {
	}

}
