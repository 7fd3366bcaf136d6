package org.bramleyscale.internal.endpoint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;

/**
 * A membership that all daemons of a test share and whose states the test sets.
 */
final class FakeMembership {

	private final Map<String, Member> members = new TreeMap<>();

	private final List<Runnable> listeners = new ArrayList<>();

	void put(Incarnation incarnation, DataCentre dataCentre, Member.State state) {
		String address = "127.0.0.1:1";
		this.members.put(incarnation.vm().value(), new Member(incarnation, dataCentre, address, address, state));
		List.copyOf(this.listeners).forEach(Runnable::run);
	}

	void set(VmId vm, Member.State state) {
		Member member = this.members.get(vm.value());
		put(member.incarnation(), member.dataCentre(), state);
	}

	MembershipView view(Incarnation self, DataCentre dataCentre) {
		return new View(self, dataCentre);
	}

	private final class View implements MembershipView {

		private final Incarnation self;

		private final DataCentre dataCentre;

		private View(Incarnation self, DataCentre dataCentre) {
			this.self = self;
			this.dataCentre = dataCentre;
		}

		@Override
		public Incarnation self() {
			return this.self;
		}

		@Override
		public DataCentre dataCentre() {
			return this.dataCentre;
		}

		@Override
		public Collection<Member> members() {
			return FakeMembership.this.members.values().stream().map(this::seen).toList();
		}

		@Override
		public Optional<Member> member(VmId vm) {
			return Optional.ofNullable(FakeMembership.this.members.get(vm.value())).map(this::seen);
		}

		/** A daemon never considers itself dead. */
		private Member seen(Member member) {
			boolean dead = member.state() == Member.State.DEAD && member.incarnation().equals(this.self);
			return dead ? new Member(member.incarnation(), member.dataCentre(), member.peerAddress(),
					member.httpAddress(), Member.State.ALIVE) : member;
		}

		@Override
		public List<Member> eligible() {
			return members().stream()
				.filter((member) -> member.state() == Member.State.ALIVE || member.state() == Member.State.SUSPECT)
				.toList();
		}

		@Override
		public void onChange(Runnable listener) {
			FakeMembership.this.listeners.add(listener);
		}

	}

}
