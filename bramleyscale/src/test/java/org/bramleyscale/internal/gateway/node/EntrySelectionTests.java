package org.bramleyscale.internal.gateway.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.peer.VmCapacity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link EntrySelection}.
 */
class EntrySelectionTests {

	private static final VmCapacity SMALL = new VmCapacity(360, 14);

	private static final VmCapacity LARGE = new VmCapacity(1_500, 140);

	@ParameterizedTest
	@CsvSource({
			// large, small, active requests, selected at least, at most
			"6, 85, 0, 6, 6", "6, 85, 150, 6, 6", "6, 85, 360, 6, 6", "6, 85, 600, 6, 6",
			// a thousand take more than half of the capacity of the large ones
			"6, 85, 1000, 7, 25", "0, 91, 0, 6, 6", "0, 91, 250, 10, 12",
			// all are selected if the load exceeds the capacity of all
			"6, 85, 100000, 91, 91" })
	void selectsAsFewLargeDaemonsAsCarryTheLoad(int large, int small, int activeRequests, int least, int most) {
		// Symptom: 30 in 100 short prompts are late on a fleet of 91 daemons; after a
		// loss of all power callers wait at small VMs whose daemons aren't up yet.
		// Sequence: callers get the addresses of all daemons alike. Cause: 91 daemons
		// that each place one request a second receive each other's updates too late, and
		// small VMs start slowly.
		List<Member> fleet = fleet(large, small);
		List<Member> selected = new EntrySelection(false, relays(fleet)).select(fleet, activeRequests);
		Truth.assertThat(selected.size()).isAtLeast(least);
		Truth.assertThat(selected.size()).isAtMost(most);
		Truth.assertThat(selected.stream().filter((member) -> member.capacity().equals(LARGE)).count())
			.isEqualTo(large);
	}

	@ParameterizedTest
	@CsvSource({ "3, 15, 60, 3", "0, 9, 20, 9", "9, 0, 0, 9", "1, 15, 0, 2", "3, 15, 400, 8", "3, 15, 5000, 18" })
	void smallFleetSelectsAllOfTheLargestSizeClass(int large, int small, int activeRequests, int count) {
		List<Member> fleet = fleet(large, small);
		Truth.assertThat(new EntrySelection(true, relays(fleet)).select(fleet, activeRequests)).hasSize(count);
	}

	@Test
	void answersContainSmallDaemonsInProportionToTheirSize() {
		// Symptom: callers wait at small VMs although large ones are half idle. Sequence:
		// a small one is selected in addition to three large ones because these are busy.
		// Cause: callers pick uniformly, so it got a quarter of them.
		List<Member> selected = fleet(3, 1);
		Random random = new Random(1);
		int answers = 2_000;
		int small = 0;
		for (int i = 0; i < answers; i++) {
			List<Member> sampled = EntrySelection.sample(selected, random);
			Truth.assertThat(sampled).containsAtLeastElementsIn(selected.subList(0, 3));
			small += sampled.size() - 3;
		}
		double share = (double) SMALL.millicores() / LARGE.millicores();
		Truth.assertThat((double) small / answers).isWithin(0.05).of(share);
	}

	@Test
	void selectsAllIfTheSizeOfOneIsUnknown() {
		List<Member> fleet = new ArrayList<>(fleet(6, 85));
		fleet.add(member("old", VmCapacity.UNKNOWN));
		List<Member> selected = new EntrySelection(false, relays(fleet)).select(fleet, 0);
		Truth.assertThat(selected).hasSize(92);
		Truth.assertThat(EntrySelection.sample(selected, new Random(1))).hasSize(92);
		Truth.assertThat(EntrySelection.sample(List.of(), new Random(1))).isEmpty();
	}

	@Test
	void selectsTheRemainingDaemon() {
		List<Member> fleet = fleet(0, 1);
		Truth.assertThat(new EntrySelection(false, Set.of()).select(fleet, 500)).isEqualTo(fleet);
		Truth.assertThat(new EntrySelection(false, Set.of()).select(List.of(), 500)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void failureOfOneDaemonMovesFewCallers(long seed) {
		Random random = new Random(seed);
		List<Member> fleet = fleet(random.nextInt(8), 60 + random.nextInt(40));
		int activeRequests = random.nextInt(600);
		Set<Member> before = new HashSet<>(new EntrySelection(false, relays(fleet)).select(fleet, activeRequests));
		for (Member failed : fleet) {
			List<Member> remaining = fleet.stream().filter((member) -> !member.equals(failed)).toList();
			Set<Member> moved = new HashSet<>(
					new EntrySelection(false, relays(remaining)).select(remaining, activeRequests));
			moved.removeAll(before);
			// A large daemon that fails is replaced by small ones of the same total
			// capacity.
			Truth.assertThat(moved.size()).isAtMost(LARGE.millicores() / SMALL.millicores() + 2);
		}
	}

	/**
	 * A fleet in three data centres, the large daemons first.
	 */
	private static List<Member> fleet(int large, int small) {
		List<Member> fleet = new ArrayList<>();
		for (int i = 0; i < large + small; i++) {
			fleet.add(member("vm-" + i, (i < large) ? LARGE : SMALL));
		}
		return fleet;
	}

	private static Member member(String name, VmCapacity capacity) {
		DataCentre dataCentre = new DataCentre("dc" + Math.floorMod(name.hashCode(), 3));
		return new Member(new Incarnation(new VmId(name), 1), dataCentre, name + ":1", name + ":2", Member.State.ALIVE,
				capacity);
	}

	/**
	 * Two daemons of each data centre, as {@code Relays} selects them: the largest.
	 */
	private static Set<VmId> relays(List<Member> fleet) {
		return fleet.stream().limit(6).map(Member::vm).collect(Collectors.toSet());
	}

}
