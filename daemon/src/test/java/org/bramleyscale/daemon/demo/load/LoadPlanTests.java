package org.bramleyscale.daemon.demo.load;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.standins.engine.TokenCount;
import org.junit.jupiter.api.Test;

/**
 * Tests for {@link LoadPlan}.
 */
class LoadPlanTests {

	private static final int MANY = 300;

	@Test
	void sameSeedGivesTheSameRequestsAndPauses() {
		LoadPlan first = plan(7);
		LoadPlan second = plan(7);
		for (int i = 0; i < MANY; i++) {
			Truth.assertThat(first.pause()).isEqualTo(second.pause());
			Truth.assertThat(first.next()).isEqualTo(second.next());
		}
	}

	@Test
	void allKindsComeAndNoPromptComesTwice() {
		List<PlannedRequest> requests = requests();
		Set<Workload> kinds = EnumSet.noneOf(Workload.class);
		requests.forEach((request) -> kinds.add(request.workload()));
		Truth.assertThat(kinds).containsExactlyElementsIn(Workload.values());
		Truth.assertThat(requests.stream().map(PlannedRequest::content).toList()).containsNoDuplicates();
	}

	@Test
	void promptsHaveAboutTheLengthTheyAreCountedWith() {
		Stream<PlannedRequest> generations = requests().stream().filter((request) -> request.workload().generates());
		generations.forEach((request) -> {
			double ratio = TokenCount.of(request.content()) / (double) request.promptTokens();
			Truth.assertThat(ratio).isWithin(0.15).of(1);
		});
	}

	private static List<PlannedRequest> requests() {
		LoadPlan plan = plan(1);
		return IntStream.range(0, MANY).mapToObj((i) -> plan.next()).toList();
	}

	private static LoadPlan plan(long seed) {
		return new LoadPlan(new SplittableRandom(seed), 20);
	}

}
