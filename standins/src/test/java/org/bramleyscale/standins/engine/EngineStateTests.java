package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineStateTests {

	private static final Duration STEP = Duration.ofMillis(20);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final EngineParameters parameters = EngineParameters.SMALL.withSpeed(1000, 100, STEP).withRoom(2, 2000);

	private final EngineState engine = new EngineState(new EndpointId("engine-1"), this.parameters, this.scheduler, 1);

	private final List<String> events = new ArrayList<>();

	@ParameterizedTest
	@CsvSource({ "400, 100", "800, 200", "4000, 1000" })
	void takesTimeForEachPromptToken(int characters, long millis) {
		start("a", "x".repeat(characters), 5, 0);
		this.scheduler.advance(Duration.ofMillis(millis - 1));
		Truth.assertThat(this.events).containsExactly("a accepted");
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.events).containsExactly("a accepted", "a 0").inOrder();
		this.scheduler.advance(STEP);
		Truth.assertThat(this.events).contains("a 1");
	}

	@Test
	void slowsTokensOfOthersWhileItComputesALongPrompt() {
		start("short", "x".repeat(40), 50, 0);
		this.scheduler.advance(Duration.ofMillis(10));
		start("long", "x".repeat(4000), 5, 0);
		this.scheduler.advance(Duration.ofMillis(20 + 2 * 120));
		Truth.assertThat(this.events).containsAtLeast("short 1", "short 2", "short 3");
		Truth.assertThat(this.events).doesNotContain("short 4");
	}

	@Test
	void beginsByPriorityWhenSlotsAreTaken() {
		start("a", "x", 3, 0);
		start("b", "x", 3, 0);
		start("low", "x", 3, 0);
		start("high", "x", 3, 9);
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.events.indexOf("high 0")).isLessThan(this.events.indexOf("low 0"));
		Truth.assertThat(this.engine.counts().snapshot().ended()).isEqualTo(4);
	}

	@Test
	void waitsForMemoryAndGivesItBack() {
		start("a", "x", 1500, 0);
		start("b", "x", 1500, 0);
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.engine.kvUsed()).isEqualTo(1501);
		Truth.assertThat(this.engine.cancel(key("b"))).isEqualTo(CancelResult.NEVER_STARTED);
		Truth.assertThat(this.engine.cancel(key("a"))).isEqualTo(CancelResult.STOPPED);
		Truth.assertThat(this.engine.kvUsed()).isEqualTo(0);
	}

	@Test
	void findsPrefixesInItsCache() {
		String prompt = "x".repeat(1024);
		start("a", prompt, 1, 0);
		this.scheduler.advance(Duration.ofSeconds(1));
		start("b", prompt + "y", 1, 0);
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.events).contains("b done cached 256");
	}

	@Test
	void evictsPrefixesWhenMemoryIsNeeded() {
		start("a", "x".repeat(1024), 1, 0);
		this.scheduler.advance(Duration.ofSeconds(1));
		start("b", "y", 1900, 0);
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.engine.cacheEvents(0).stream().map(CacheEvent::stored))
			.containsExactly(true, false)
			.inOrder();
	}

	@Test
	void publishesCacheEventsLateAndWithGaps() {
		EngineState gappy = new EngineState(new EndpointId("engine-2"),
				this.parameters.withLags(STEP, Duration.ofSeconds(5), 2), this.scheduler, 1);
		gappy.generate(generation("a", "x".repeat(3072), 1, 0, List.of()), new Listener("a"));
		this.scheduler.advance(Duration.ofSeconds(2));
		Truth.assertThat(gappy.cacheEvents(0)).isEmpty();
		this.scheduler.advance(Duration.ofSeconds(4));
		Truth.assertThat(gappy.cacheEvents(0).stream().map(CacheEvent::sequence)).containsExactly(1L, 3L).inOrder();
	}

	@Test
	void reportsWithALag() {
		start("a", "x", 1500, 0);
		this.scheduler.advance(Duration.ofMillis(199));
		Truth.assertThat(this.engine.report().running()).isEqualTo(0);
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.engine.report().running()).isEqualTo(1);
	}

	@Test
	void keepsAHoldWhileItIsUsedAndNoLonger() {
		EngineHold hold = new EngineHold("h", "entry-1~10", 1500, Duration.ofSeconds(1));
		Truth.assertThat(this.engine.hold(hold)).isTrue();
		this.engine.generate(generation("a", "x".repeat(4000), 2000, 0, List.of("engine-1=h", "engine-2=h")),
				new Listener("a"));
		this.scheduler.advance(Duration.ofSeconds(3));
		Truth.assertThat(this.engine.kvUsed()).isEqualTo(1500);
		this.engine.cancel(key("a"));
		Truth.assertThat(this.engine.kvUsed()).isEqualTo(0);
	}

	@Test
	void forgetsAHoldThatIsNotRenewed() {
		EngineHold hold = new EngineHold("h", "entry-1~10", 1500, Duration.ofSeconds(1));
		this.engine.hold(hold);
		this.scheduler.advance(Duration.ofMillis(900));
		this.engine.hold(hold);
		this.scheduler.advance(Duration.ofMillis(900));
		Truth.assertThat(this.engine.holds()).hasSize(1);
		this.scheduler.advance(Duration.ofMillis(100));
		Truth.assertThat(this.engine.holds()).isEmpty();
	}

	@Test
	void forgetsAnEndedAttemptAfterAWhile() {
		start("a", "x", 1, 0);
		this.scheduler.advance(Duration.ofSeconds(30));
		this.engine.resume(key("a"), 0, new Listener("again"));
		Truth.assertThat(this.events).contains("again done cached 0");
		this.scheduler.advance(Duration.ofSeconds(31));
		this.engine.resume(key("a"), 0, new Listener("late"));
		Truth.assertThat(this.events).contains("late UNKNOWN_REQUEST UNKNOWN");
	}

	@Test
	void takesTenTimesAsLongWhenSlow() {
		this.engine.fault(Fault.SLOW, true);
		start("a", "x".repeat(400), 1, 0);
		this.scheduler.advance(Duration.ofMillis(999));
		Truth.assertThat(this.events).doesNotContain("a 0");
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.events).contains("a 0");
	}

	@Test
	void goesOnAfterAFreeze() {
		start("a", "x", 20, 0);
		this.scheduler.advance(Duration.ofMillis(50));
		this.engine.fault(Fault.FREEZE, true);
		int before = this.events.size();
		this.scheduler.advance(Duration.ofSeconds(10));
		Truth.assertThat(this.events).hasSize(before);
		this.engine.fault(Fault.FREEZE, false);
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.events).contains("a done cached 0");
	}

	@ParameterizedTest
	@CsvSource({ "how much is a crusher, 6", "xe đến trễ, 5", "'', 1" })
	void countsTokensByLanguage(String text, int tokens) {
		Truth.assertThat(TokenCount.of(text)).isEqualTo(tokens);
	}

	@Test
	void answersDifferByPromptAndJoin() {
		String whole = ExpectedAnswer.text("a", 0, 50);
		Truth.assertThat(ExpectedAnswer.text("a", 0, 20) + ExpectedAnswer.text("a", 20, 50)).isEqualTo(whole);
		Truth.assertThat(ExpectedAnswer.text("b", 0, 50)).isNotEqualTo(whole);
	}

	private void start(String name, String prompt, int maxTokens, int priority) {
		this.engine.generate(generation(name, prompt, maxTokens, priority, List.of()), new Listener(name));
	}

	private static Generation generation(String name, String prompt, int maxTokens, int priority, List<String> holds) {
		return new Generation(key(name), "assist", Prompt.of(prompt), "", 0, maxTokens, priority, holds);
	}

	private static AttemptKey key(String name) {
		return new AttemptKey(name, 1);
	}

	/**
	 * Writes each event down.
	 */
	private final class Listener implements AttemptListener {

		private final String name;

		private Listener(String name) {
			this.name = name;
		}

		@Override
		public void accepted() {
			EngineStateTests.this.events.add(this.name + " accepted");
		}

		@Override
		public void frame(long offset, int tokens, String text) {
			EngineStateTests.this.events.add(this.name + " " + offset);
		}

		@Override
		public void done(EngineUsage usage) {
			EngineStateTests.this.events.add(this.name + " done cached " + usage.cachedTokens());
		}

		@Override
		public void failed(ErrorCode code, Ran ran, String message) {
			EngineStateTests.this.events.add(this.name + " " + code + " " + ran);
		}

	}

}
