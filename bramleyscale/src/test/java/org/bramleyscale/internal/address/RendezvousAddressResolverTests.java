package org.bramleyscale.internal.address;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class RendezvousAddressResolverTests {

	private static final ClientAccountId ACCOUNT = new ClientAccountId("quarry-1");

	private final FixedView view = new FixedView();

	private final FixedConfiguration configuration = new FixedConfiguration();

	private final RendezvousAddressResolver addressResolver = new RendezvousAddressResolver(this.view,
			this.configuration, Duration.ofSeconds(10));

	RendezvousAddressResolverTests() {
		for (int i = 0; i < 9; i++) {
			this.view.put("entry-" + i, List.of("rawang", "semenyih", "shah-alam").get(i % 3), Member.State.ALIVE);
		}
	}

	@Test
	void anAccountWithoutARuleGetsTwoEntriesInTwoDataCentres() {
		for (int i = 0; i < 200; i++) {
			AddressAnswer answer = this.addressResolver.addresses(new ClientAccountId("account-" + i));
			Truth.assertThat(answer.keepFor()).isEqualTo(Duration.ofSeconds(10));
			Truth.assertThat(answer.entries()).hasSize(2);
			Truth.assertThat(Set.of(dataCentre(answer, 0), dataCentre(answer, 1))).hasSize(2);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 5, 9, 50 })
	void accountRuleSetsTheNumberOfEntries(int entries) {
		this.configuration.set(entries);
		Truth.assertThat(this.addressResolver.addresses(ACCOUNT).entries()).hasSize(Math.min(entries, 9));
	}

	@Test
	void anEntryNamesAddressAndIncarnation() {
		AddressAnswer.Entry first = this.addressResolver.addresses(ACCOUNT).entries().get(0);
		Member member = this.view.members.stream()
			.filter((candidate) -> candidate.httpAddress().equals(first.address()))
			.findFirst()
			.orElseThrow();
		Truth.assertThat(Incarnation.parse(first.requestIdPrefix())).isEqualTo(member.incarnation());
	}

	@ParameterizedTest
	@EnumSource(names = { "LEAVING", "DEAD" })
	void aLeavingOrDeadEntryIsDroppedAtOnce(Member.State state) {
		String first = this.addressResolver.addresses(ACCOUNT).entries().get(0).address();
		this.view.change(first, state);
		for (AddressAnswer.Entry entry : this.addressResolver.addresses(ACCOUNT).entries()) {
			Truth.assertThat(entry.address()).isNotEqualTo(first);
		}
	}

	@Test
	void suspectEntryRanksBehindAliveOnes() {
		String first = this.addressResolver.addresses(ACCOUNT).entries().get(0).address();
		this.configuration.set(9);
		this.view.change(first, Member.State.SUSPECT);
		List<AddressAnswer.Entry> entries = this.addressResolver.addresses(ACCOUNT).entries();
		Truth.assertThat(entries.get(8).address()).isEqualTo(first);
	}

	/**
	 * Guards against callers being directed to an unresponsive data centre. The failure
	 * occurs when all entries of the other data centres are suspect and an answer
	 * includes one of them for the sake of a second data centre although alive entries
	 * are left.
	 */
	@Test
	void aliveEntriesArePreferredToASecondDataCentre() {
		for (Member member : List.copyOf(this.view.members)) {
			if (!member.dataCentre().value().equals("rawang")) {
				this.view.change(member.httpAddress(), Member.State.SUSPECT);
			}
		}
		AddressAnswer answer = this.addressResolver.addresses(ACCOUNT);
		Truth.assertThat(List.of(dataCentre(answer, 0), dataCentre(answer, 1))).containsExactly("rawang", "rawang");
	}

	@Test
	void withoutEligibleEntriesTheAnswerIsEmpty() {
		for (Member member : List.copyOf(this.view.members)) {
			this.view.change(member.httpAddress(), Member.State.DEAD);
		}
		Truth.assertThat(this.addressResolver.addresses(ACCOUNT).entries()).isEmpty();
	}

	private static String dataCentre(AddressAnswer answer, int index) {
		return answer.entries().get(index).dataCentre();
	}

	private static final class FixedConfiguration implements ConfigurationSource {

		private final List<Consumer<Configuration>> listeners = new ArrayList<>();

		private Configuration current = Configuration.NONE;

		private void set(int entries) {
			AccountRule rule = new AccountRule(ACCOUNT, "0", 1, 1, 1, List.of(), entries);
			this.current = new Configuration(1, Register.EMPTY, new Rules(Set.of(), List.of(rule)));
			this.listeners.forEach((listener) -> listener.accept(this.current));
		}

		@Override
		public Configuration current() {
			return this.current;
		}

		@Override
		public boolean fresh() {
			return true;
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
			this.listeners.add(listener);
		}

	}

	private static final class FixedView implements MembershipView {

		private final List<Member> members = new ArrayList<>();

		private final List<Runnable> listeners = new ArrayList<>();

		private void put(String vm, String dataCentre, Member.State state) {
			this.members.add(new Member(new Incarnation(new VmId(vm), 5), new DataCentre(dataCentre), vm + ":1",
					vm + ":2", state));
		}

		private void change(String httpAddress, Member.State state) {
			this.members.replaceAll((member) -> member.httpAddress().equals(httpAddress)
					? new Member(member.incarnation(), member.dataCentre(), member.peerAddress(), httpAddress, state)
					: member);
			this.listeners.forEach(Runnable::run);
		}

		@Override
		public Incarnation self() {
			return this.members.get(0).incarnation();
		}

		@Override
		public DataCentre dataCentre() {
			return this.members.get(0).dataCentre();
		}

		@Override
		public Collection<Member> members() {
			return this.members;
		}

		@Override
		public Optional<Member> member(VmId vm) {
			return this.members.stream().filter((member) -> member.vm().equals(vm)).findFirst();
		}

		@Override
		public List<Member> eligible() {
			return this.members.stream()
				.filter((member) -> member.state().compareTo(Member.State.LEAVING) < 0)
				.toList();
		}

		@Override
		public void onChange(Runnable listener) {
			this.listeners.add(listener);
		}

	}

}
