package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.crash.TrialHolders;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link MemberTrialHolders}.
 */
class MemberTrialHoldersTests {

	private static final Incarnation SELF = Incarnation.parse("d1~b");

	private final ManualScheduler scheduler = new ManualScheduler();

	/**
	 * Guards against waiting for a daemon that has started anew, or that never returns.
	 */
	@ParameterizedTest
	@CsvSource({ "d1~b, 0, true, MAY_RUN", "d1~a, 0, true, ENDED", "d1~c, 0, true, ENDED", "d2~b, 0, true, MAY_RUN",
			"d2~a, 0, true, ENDED", "d2~c, 0, true, MAY_RUN", "d3~b, 0, true, ENDED", "d3~c, 0, true, MAY_RUN",
			"d4~b, 0, true, MAY_RUN", "d4~b, 3000, true, UNKNOWN", "d4~b, 3000, false, MAY_RUN" })
	void membershipTellsWhetherADaemonMayRun(String holder, long uptimeMillis, boolean knowsAll,
			TrialHolders.State expected) {
		MemberTrialHolders holders = new MemberTrialHolders(this.scheduler, new TwoMembers(), SELF, () -> knowsAll);
		this.scheduler.advance(Duration.ofMillis(uptimeMillis));
		Truth.assertThat(holders.state(Incarnation.parse(holder))).isEqualTo(expected);
	}

	/**
	 * Knows one daemon that runs and one that is dead.
	 */
	private static final class TwoMembers implements MembershipView {

		private static final List<Member> OTHERS = List.of(member("d2~b", Member.State.ALIVE),
				member("d3~b", Member.State.DEAD));

		private static Member member(String start, Member.State state) {
			return new Member(Incarnation.parse(start), new DataCentre("east"), "", "", state);
		}

		@Override
		public Incarnation self() {
			return SELF;
		}

		@Override
		public DataCentre dataCentre() {
			return new DataCentre("east");
		}

		@Override
		public Collection<Member> members() {
			return OTHERS;
		}

		@Override
		public Optional<Member> member(VmId vm) {
			return OTHERS.stream().filter((member) -> member.vm().equals(vm)).findFirst();
		}

		@Override
		public List<Member> eligible() {
			return OTHERS;
		}

		@Override
		public void onChange(Runnable listener) {
			throw new UnsupportedOperationException();
		}

	}

}
