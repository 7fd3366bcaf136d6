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
			// large, small, under way, named at least, at most
			"6, 85, 0, 6, 6", "6, 85, 150, 6, 6", "6, 85, 360, 6, 6", "6, 85, 600, 6, 6",
			// a thousand take more than half of what the large ones have
			"6, 85, 1000, 7, 25", "0, 91, 0, 6, 6", "0, 91, 250, 10, 12",
			// nothing is too much for all
			"6, 85, 100000, 91, 91" })
	void namesAsFewLargeOnesAsCarryTheLoad(int large, int small, int underWay, int least, int most) {
		// Symptom: 30 in 100 short prompts are late on a fleet of 91 daemons; after a
		// loss of all power callers wait at small VMs whose daemons aren't back.
		// Sequence: callers are named all daemons alike. Cause: 91 daemons that each
		// place
		// one request a second hear of each other too late, and small VMs start slowly.
		List<Member> fleet = fleet(large, small);
		List<Member> chosen = new EntrySelection(false, relays(fleet)).select(fleet, underWay);
		Truth.assertThat(chosen.size()).isAtLeast(least);
		Truth.assertThat(chosen.size()).isAtMost(most);
		Truth.assertThat(chosen.stream().filter((member) -> member.capacity().equals(LARGE)).count()).isEqualTo(large);
	}

	@ParameterizedTest
	@CsvSource({ "3, 15, 60, 3", "0, 9, 20, 9", "9, 0, 0, 9", "1, 15, 0, 2", "3, 15, 400, 8", "3, 15, 5000, 18" })
	void aSmallFleetNamesAllOfTheLargestSize(int large, int small, int underWay, int named) {
		List<Member> fleet = fleet(large, small);
		Truth.assertThat(new EntrySelection(true, relays(fleet)).select(fleet, underWay)).hasSize(named);
	}

	@Test
	void anAnswerNamesSmallerOnesAsSeldomAsTheyAreSmall() {
		// Symptom: callers wait at small VMs though large ones are half idle. Sequence: a
		// small one is named beside three large ones because these are busy. Cause:
		// callers draw evenly, so it got a quarter of them.
		List<Member> chosen = fleet(3, 1);
		Random random = new Random(1);
		int answers = 2_000;
		int small = 0;
		for (int i = 0; i < answers; i++) {
			List<Member> named = EntrySelection.sample(chosen, random);
			Truth.assertThat(named).containsAtLeastElementsIn(chosen.subList(0, 3));
			small += named.size() - 3;
		}
		double share = (double) SMALL.millicores() / LARGE.millicores();
		Truth.assertThat((double) small / answers).isWithin(0.05).of(share);
	}

	@Test
	void namesAllIfTheSizeOfOneIsNotKnown() {
		List<Member> fleet = new ArrayList<>(fleet(6, 85));
		fleet.add(member("old", VmCapacity.UNKNOWN));
		List<Member> chosen = new EntrySelection(false, relays(fleet)).select(fleet, 0);
		Truth.assertThat(chosen).hasSize(92);
		Truth.assertThat(EntrySelection.sample(chosen, new Random(1))).hasSize(92);
		Truth.assertThat(EntrySelection.sample(List.of(), new Random(1))).isEmpty();
	}

	@Test
	void namesWhoeverIsLeft() {
		List<Member> fleet = fleet(0, 1);
		Truth.assertThat(new EntrySelection(false, Set.of()).select(fleet, 500)).isEqualTo(fleet);
		Truth.assertThat(new EntrySelection(false, Set.of()).select(List.of(), 500)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void theEndOfOneDaemonMovesFewCallers(long seed) {
		Random random = new Random(seed);
		List<Member> fleet = fleet(random.nextInt(8), 60 + random.nextInt(40));
		int underWay = random.nextInt(600);
		Set<Member> before = new HashSet<>(new EntrySelection(false, relays(fleet)).select(fleet, underWay));
		for (Member gone : fleet) {
			List<Member> rest = fleet.stream().filter((member) -> !member.equals(gone)).toList();
			Set<Member> moved = new HashSet<>(new EntrySelection(false, relays(rest)).select(rest, underWay));
			moved.removeAll(before);
			// A large one that ends is made up for by as many small ones as do its work.
			Truth.assertThat(moved.size()).isAtMost(LARGE.millicores() / SMALL.millicores() + 2);
		}
	}

	/**
	 * A fleet in three data centres, the large ones first.
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
	 * Two of each data centre, as {@code Relays} has them: the largest.
	 */
	private static Set<VmId> relays(List<Member> fleet) {
		return fleet.stream().limit(6).map(Member::vm).collect(Collectors.toSet());
	}

}
