package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.VmCapacity;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests {@link Relays} with random fleets of VMs of different sizes.
 */
class RelaysTests {

	private static final DataCentre EAST = new DataCentre("east");

	private static final VmCapacity SMALL = new VmCapacity(360, 14);

	private static final VmCapacity LARGE = new VmCapacity(1_500, 140);

	private final ManualScheduler scheduler = new ManualScheduler();

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void smallVmIsNotARelayWhileALargerOneIsAvailable(long seed) {
		// Guards against choosing a daemon on a VM with a link of 14 Mbit/s as a relay
		// while larger VMs are available. Its messages then queue, so that
		// configurations come into force seconds late and callers' keys still work
		// after they were revoked.
		Random random = new Random(seed);
		List<MemberEntry> entries = fleet(random, 40, 0.2);
		Set<VmId> relays = relaysOf(entries);
		int smallest = entries.stream()
			.filter((entry) -> relays.contains(entry.vm()))
			.mapToInt((entry) -> entry.identity().capacity().sizeClass())
			.min()
			.orElseThrow();
		entries.stream()
			.filter((entry) -> entry.health() == Health.ALIVE && !relays.contains(entry.vm()))
			.forEach((entry) -> Truth.assertThat(entry.identity().capacity().sizeClass()).isAtMost(smallest));
		Truth.assertThat(relays).hasSize(Relays.RELAYS);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void removalOfOneVmReplacesAtMostOneRelay(long seed) {
		List<MemberEntry> entries = fleet(new Random(seed), 40, 0.2);
		Set<VmId> before = relaysOf(entries);
		for (MemberEntry removed : entries) {
			List<MemberEntry> rest = new ArrayList<>(entries);
			rest.remove(removed);
			Set<VmId> added = new HashSet<>(relaysOf(rest));
			added.removeAll(before);
			Truth.assertThat(added.size()).isAtMost(before.contains(removed.vm()) ? 1 : 0);
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void capacityDoesNotAffectTheChoiceAmongEqualVms(long seed) {
		Random random = new Random(seed);
		List<MemberEntry> large = fleet(random, 40, 1);
		List<MemberEntry> unknown = large.stream().map((entry) -> entry(entry.vm(), VmCapacity.UNKNOWN)).toList();
		Truth.assertThat(relaysOf(large)).isEqualTo(relaysOf(unknown));
	}

	private List<MemberEntry> fleet(Random random, int size, double large) {
		List<MemberEntry> entries = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			boolean isLarge = i < 2 || random.nextDouble() < large;
			entries.add(entry(new VmId("vm-" + random.nextInt(1_000_000) + "-" + i), isLarge ? LARGE : SMALL));
		}
		return entries;
	}

	private static MemberEntry entry(VmId vm, VmCapacity capacity) {
		PeerIdentity identity = new PeerIdentity(new Incarnation(vm, 1), EAST, "a:1", "a:2", capacity);
		return new MemberEntry(identity, 0, Health.ALIVE, false);
	}

	private Set<VmId> relaysOf(List<MemberEntry> entries) {
		MemberTable table = new MemberTable(this.scheduler);
		entries.forEach(table::merge);
		return new HashSet<>(new Relays(table, entries.get(0).vm(), EAST).of(EAST));
	}

}
