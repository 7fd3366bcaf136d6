package org.bramleyscale.internal.endpoint.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GroupPlanTests {

	@ParameterizedTest
	@CsvSource(delimiter = ';', value = {
			// engines as name@data centre:capacity/used; KV tokens needed; expected parts
			"b@x:1000/0 a@x:1000/0; 1500; a=750 b=750", "a@x:1000/900 b@x:1000/0 c@x:1000/0; 1500; b=750 c=750",
			"a@x:1000/0 b@x:3000/0; 2000; b=2000", "a@x:1000/0 b@y:1000/0 c@y:1000/500; 1500; b=750 c=750",
			"a@x:1000/0 b@y:1000/0; 1500; a=750 b=750", "a@x:1000/0 b@x:1000/0; 1701; none" })
	void choosesEnginesAndDividesMemory(String engines, long kvTokens, String expected) {
		String parts = GroupPlan.of(engines(engines), kvTokens)
			.map((group) -> group.stream()
				.map((part) -> part.entry().name() + "=" + part.kvTokens())
				.collect(Collectors.joining(" ")))
			.orElse("none");
		Truth.assertThat(parts).isEqualTo(expected);
	}

	@Test
	void partsAddUpToAnyNeededAmount() {
		List<GroupPlan.Engine> engines = engines("a@x:1000/1 b@x:777/5 c@x:1313/2 d@x:999/0");
		for (long needed = 1; needed <= GroupPlan.holdable(engines); needed++) {
			Optional<List<GroupPlan.Part>> group = GroupPlan.of(engines, needed);
			Truth.assertThat(group.orElseThrow().stream().mapToLong(GroupPlan.Part::kvTokens).sum()).isEqualTo(needed);
		}
	}

	private static List<GroupPlan.Engine> engines(String text) {
		List<GroupPlan.Engine> result = new ArrayList<>();
		for (String engine : text.split(" ")) {
			String[] parts = engine.split("[@:/]");
			EndpointEntry entry = new EndpointEntry(new EndpointId(parts[0]), new ServiceName("s"),
					new DataCentre(parts[1]), "a:1", List.of(), true, false);
			result.add(new GroupPlan.Engine(entry, Long.parseLong(parts[2]), Long.parseLong(parts[3])));
		}
		return result;
	}

}
