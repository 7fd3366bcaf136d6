package org.bramleyscale.internal.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.membership.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ShardMapTests {

	private static final DataCentre LOCAL = new DataCentre("rawang");

	private static final DataCentre REMOTE = new DataCentre("semenyih");

	@ParameterizedTest
	@CsvSource({ "1, 1", "3, 2", "4, 4", "7, 4", "68, 64" })
	void aDataCentreHasAboutAsManyShardsAsDaemons(int vms, int shards) {
		Truth.assertThat(map(vms, LOCAL).shards(LOCAL)).hasSize(shards);
	}

	@Test
	void shardsAreRestoredFromTheirCodes() {
		for (Shard shard : map(68, LOCAL).shards(LOCAL)) {
			Truth.assertThat(Shard.of(LOCAL, shard.code())).isEqualTo(shard);
		}
	}

	@Test
	void endpointsOfADataCentreWithoutDaemonsAreOwnedElsewhere() {
		Truth.assertThat(map(3, REMOTE).owner(endpoint(1))).isPresent();
		Truth.assertThat(new ShardMap(register(3), List.of()).owner(endpoint(1))).isEmpty();
	}

	@Test
	void removalOfADaemonMovesOnlyItsShards() {
		List<Member> all = members(9, LOCAL);
		ShardMap before = new ShardMap(register(9), all);
		ShardMap after = new ShardMap(register(9), all.subList(1, 9));
		Map<Boolean, Integer> moved = new HashMap<>();
		for (Shard shard : before.shards(LOCAL)) {
			boolean lost = before.owner(shard).orElseThrow().equals(all.get(0).vm());
			boolean same = before.owner(shard).equals(after.owner(shard));
			moved.merge(lost == !same, 1, Integer::sum);
		}
		Truth.assertThat(moved).containsExactly(true, 8);
	}

	private static ShardMap map(int vms, DataCentre dataCentre) {
		return new ShardMap(register(vms), members(vms, dataCentre));
	}

	private static Register register(int vms) {
		List<VmEntry> entries = IntStream.range(0, vms).mapToObj((i) -> new VmEntry(vm(i), LOCAL)).toList();
		return new Register(entries, List.of(), List.of(), List.of(endpoint(1)));
	}

	private static List<Member> members(int count, DataCentre dataCentre) {
		return IntStream.range(0, count)
			.mapToObj((i) -> new Member(new Incarnation(vm(i), 1), dataCentre, "a:1", "a:2", Member.State.ALIVE))
			.toList();
	}

	private static VmId vm(int number) {
		return new VmId("vm-" + number);
	}

	private static EndpointEntry endpoint(int number) {
		return new EndpointEntry(new EndpointId("e" + number), new ServiceName("s"), LOCAL, "a:1", List.of(), true,
				false);
	}

}
