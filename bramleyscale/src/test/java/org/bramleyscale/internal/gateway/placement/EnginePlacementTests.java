package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.catalog.StreamAims;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandBoard;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadBoard;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link EnginePlacement} on 21 engines.
 */
class EnginePlacementTests {

	private static final ServiceName NAME = new ServiceName("quotes");

	private static final EngineProfile PROFILE = new EngineProfile(11, 405_000, 34, 2_048, 1.31, 0.00133, 0.00213, 154,
			0.162);

	private static final Service SERVICE = new Service(NAME, 364, Optional.of(PROFILE),
			new StreamAims(Duration.ofMillis(250), Duration.ofSeconds(3)));

	/** 0.55 of what a pause of 250 ms leaves beside a pass of 45 ms. */
	private static final double LONGEST_PART_MILLIS = 113;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final BackendTable backends = new BackendTable(this.scheduler, DecisionLog.NONE);

	private final BackendHealth health = new BackendHealth(this.scheduler, DecisionLog.NONE);

	private final LoadBoard loads = new LoadBoard(this.scheduler);

	/** Engines that name a limit of which the daemon has nothing left. */
	private final Set<EndpointStart> closed = new HashSet<>();

	private final DemandBoard demands = new DemandBoard(this.scheduler);

	private final EnginePlacement placement = new EnginePlacement(this.backends, this.health, this.loads, this.demands,
			new Random(1));

	EnginePlacementTests() {
		for (int i = 0; i < 21; i++) {
			this.backends.put(new Backend(id(i), NAME, HostAndPort.fromParts("10.0.0." + i, 80), new DataCentre("east"),
					11, false));
		}
	}

	@ParameterizedTest
	@CsvSource({ "5000, 1", "14000, 1", "16000, 3", "23000, 4", "45000, 8", "80000, 17" })
	void shortAndMediumPromptsAreReadInPartsThatFitAPause(long tokens, int readers) {
		shortRequests(130);
		Placement placed = place(tokens);
		Truth.assertThat(placed.helpers()).hasSize(readers - 1);
		Truth.assertThat(placed.readMillis()).isAtMost(LONGEST_PART_MILLIS);
	}

	@Test
	void longPromptsStayInTheirLane() {
		// Symptom: all short answers pause for half a second. Sequence: a manual arrives
		// while 155 short answers are written. Cause: its reading is spread over all
		// engines.
		shortRequests(155);
		Placement placed = place(182_000);
		Set<EndpointStart> used = new HashSet<>();
		placed.helpers().forEach((helper) -> used.add(helper.start()));
		used.add(placed.target().orElseThrow().start());
		Truth.assertThat(used).containsExactly(id(19), id(20));
	}

	@Test
	void shortPromptsKeepOutOfTheLongLane() {
		for (int i = 0; i < 30; i++) {
			Placement placed = place(5_000);
			Backend target = placed.target().orElseThrow();
			Truth.assertThat(target.id().value()).isLessThan(id(5).id().value());
			this.loads.begin(target.start(), placed.readMillis(), 6_000, true, 250);
		}
		Truth.assertThat(place(5_000).reason()).isEqualTo("short");
	}

	/**
	 * Guards against prompts, parts of prompts and memory on engines that want nothing.
	 */
	@ParameterizedTest
	@CsvSource({ "5000", "45000", "182000", "700000" })
	void enginesThatAskedForRestAreUsedForNothing(long tokens) {
		Set<EndpointStart> resting = Set.of(id(0), id(1), id(18), id(20));
		resting.forEach((engine) -> this.health.asksForRest(engine, Duration.ofSeconds(3)));
		for (int i = 0; i < 20; i++) {
			Placement placed = place(tokens);
			Set<EndpointStart> used = new HashSet<>();
			placed.helpers().forEach((helper) -> used.add(helper.start()));
			placed.target().ifPresent((target) -> used.add(target.start()));
			placed.holds().forEach((hold) -> used.add(hold.engine().start()));
			Truth.assertThat(used).containsNoneIn(resting);
			Truth.assertThat(placed.target().isPresent()).isTrue();
		}
	}

	/** Guards against callers who come back while no engine takes anything. */
	@Test
	void whereAllEnginesRestTheFirstEndOfARestIsTold() {
		for (int i = 0; i < 21; i++) {
			this.health.asksForRest(id(i), Duration.ofSeconds(20 - i / 2));
		}
		Placement placed = place(5_000);
		Truth.assertThat(placed.target()).isEqualTo(Optional.empty());
		Truth.assertThat(placed.retryAfter()).isEqualTo(Duration.ofSeconds(10));
	}

	/** Guards against a short lane that is mostly made of engines which take nothing. */
	@Test
	void enginesThatNameALimitAreNoPartOfALane() {
		this.closed.addAll(Set.of(id(0), id(1), id(2), id(20)));
		Set<EndpointStart> used = new HashSet<>();
		for (int i = 0; i < 30; i++) {
			Placement placed = place(5_000);
			used.add(placed.target().orElseThrow().start());
			this.loads.begin(placed.target().get().start(), placed.readMillis(), 6_000, true, 250);
		}
		Truth.assertThat(used).containsExactly(id(3), id(4), id(5), id(6));
		Truth.assertThat(place(182_000).target().orElseThrow().start()).isNotIn(this.closed);
	}

	@Test
	void whatNoEngineMayGetIsRefusedWithATimeToComeBack() {
		for (int i = 0; i < 21; i++) {
			this.closed.add(id(i));
		}
		Placement placed = place(5_000);
		Truth.assertThat(placed.reason()).isEqualTo("limits of endpoints reached");
		Truth.assertThat(placed.retryAfter()).isGreaterThan(Duration.ZERO);
	}

	@Test
	void shortPromptsSpillWhenTheirLaneIsFull() {
		for (int i = 0; i < 60; i++) {
			Placement placed = place(5_000);
			this.loads.begin(placed.target().orElseThrow().start(), 0, 6_000, true, 250);
		}
		Truth.assertThat(place(5_000).reason()).isEqualTo("short, spilt");
	}

	@ParameterizedTest
	@CsvSource({ "300000, 0, 0", "500000, 1, 128600", "900000, 2, 528600" })
	void promptsOverOneEnginesMemoryHoldTheRestElsewhere(long tokens, int engines, long held) {
		Placement placed = place(tokens);
		Truth.assertThat(placed.holds()).hasSize(engines);
		Truth.assertThat(placed.holds().stream().mapToLong(MemoryHold::tokens).sum()).isEqualTo(held);
		List<Backend> first = placed.helpers().subList(0, engines);
		Truth.assertThat(placed.holds().stream().map(MemoryHold::engine).toList()).isEqualTo(first);
		Truth.assertThat(placed.helpers()).doesNotContain(placed.target().orElseThrow());
	}

	@ParameterizedTest
	@CsvSource({ "45000", "182000" })
	void enginesThatHelpAsManyAsTheyMayAreLeftAlone(long tokens) {
		// Symptom: long prompts are refused by engines that have slots and memory, each
		// time in the name of a helper. Sequence: twenty long prompts in hand, all of the
		// long lane reads each. Cause: an engine helps with as many requests at a time as
		// it has slots, and nobody counted them.
		List<EndpointStart> helping = List.of(id(1), id(2), id(18), id(19));
		for (int i = 0; i < 11; i++) {
			helping.forEach((engine) -> this.loads.begin(engine, 1, 0, false, EndpointLoad.ANY_PAUSE));
		}
		Placement placed = place(tokens);
		Truth.assertThat(placed.target().isPresent()).isTrue();
		Truth.assertThat(placed.helpers()).isNotEmpty();
		Truth.assertThat(placed.helpers().stream().map(Backend::start).toList()).containsNoneIn(helping);
	}

	@ParameterizedTest
	@CsvSource({ "120000, 1000, true", "120000, 850, false", "350000, 850, true", "350000, 200, false" })
	void longPromptsWaitWhileTheLaneReadsTheShortestGoFirst(long tokens, double unread, boolean waits) {
		// Symptom: twenty long prompts, and not one in time. Sequence: they arrive within
		// 3 s. Cause: engines read all that they have together, so all end with the last.
		busy(unread);
		Placement placed = place(tokens);
		Truth.assertThat(placed.waits()).isEqualTo(waits);
		Truth.assertThat(placed.target().isPresent()).isEqualTo(!waits);
	}

	@ParameterizedTest
	@CsvSource({ "250, 140000, false", "250, 182000, true", "1000, 182000, false", "1000, 350000, false",
			"1000, 600000, true" })
	void longPromptsWaitWhileTheyWouldHoldStreamsUp(int pause, long tokens, boolean waits) {
		// Symptom: answers in time by their first event pause too long in the middle.
		// Sequence: the mix turns to long prompts while short answers are written. Cause:
		// the lane takes engines that still write, and a part lengthens all their pauses.
		for (int i = 0; i < 21; i++) {
			this.loads.begin(id(i), 0, 6_000, true, pause).read();
		}
		Placement placed = place(tokens);
		Truth.assertThat(placed.waits()).isEqualTo(waits);
		if (!waits) {
			Truth.assertThat(placed.readMillis()).isAtMost(pause);
		}
	}

	@ParameterizedTest
	@CsvSource({ "100, false", "1000, true" })
	void whatMissedItsTargetIsReadByALaneThatIsAlmostIdle(double unread, boolean waits) {
		// Symptom: a long prompt whose engine crashed gets its first event after six
		// seconds, four of them kept at its daemon. Sequence: its target has passed, the
		// lane reads a little of this and that. Cause: it waited for a lane that could
		// read it about as soon as an idle one.
		busy(unread);
		Placement placed = this.placement.place(request(139_000, Duration.ofSeconds(4), Set.of()));
		Truth.assertThat(placed.waits()).isEqualTo(waits);
	}

	@Test
	void aVeryLongPromptWaitsForMoreThanTheOneIdleEngine() {
		// Symptom: a manual of 600,000 tokens never gets its first event. Sequence: all
		// engines but one write manuals. Cause: the one has room for any length and would
		// read it alone, for thirty seconds.
		for (int i = 0; i < 20; i++) {
			this.loads.begin(id(i), 0, 6_000, true, 1_000).read();
		}
		Truth.assertThat(place(600_000).reason()).isEqualTo("long, waits");
	}

	@ParameterizedTest
	@CsvSource({ "372000, 1, 200000, 'long, no memory free'", "0, 11, 200000, 'long, all slots taken'",
			"372000, 1, 1600000, 'first event predicted in'" })
	void longPromptsWaitForMemoryAndSlotsWhileThereIsTime(long taken, int active, long tokens, String reason) {
		// Symptom: giants are refused and never come back. Sequence: the engines of the
		// lane are full of others' contexts for a second. Cause: they are refused at
		// once,
		// and callers come back only once.
		for (int i = 0; i < 21; i++) {
			for (int j = 0; j < active; j++) {
				this.loads.begin(id(i), 0, taken, true, EndpointLoad.ANY_PAUSE);
			}
		}
		Placement placed = place(tokens);
		Truth.assertThat(placed.reason()).startsWith(reason);
		Truth.assertThat(placed.waits()).isEqualTo(reason.startsWith("long"));
	}

	@Test
	void whatWouldWaitForTooLongIsRefusedAtOnce() {
		busy(1_000);
		for (int i = 0; i < 60; i++) {
			this.demands.waitBegan(NAME, 5_000);
		}
		Placement placed = place(180_000);
		Truth.assertThat(placed.waits()).isFalse();
		Truth.assertThat(placed.reason()).startsWith("first event predicted");
	}

	@Test
	void whatCannotBeReadInTimeIsRefusedAtOnce() {
		busy(4_000);
		Placement placed = place(5_000);
		Truth.assertThat(placed.target().isPresent()).isFalse();
		Truth.assertThat(placed.retryAfter()).isGreaterThan(Duration.ofSeconds(1));
	}

	@Test
	void failingEnginesComeLast() {
		for (int i = 0; i < 20; i++) {
			this.health.unreachable(id(i), "connect");
		}
		Truth.assertThat(place(5_000).target().orElseThrow().start()).isEqualTo(id(20));
	}

	@Test
	void anEngineThatWasTriedIsNotAskedAgain() {
		Set<EndpointStart> all = new HashSet<>();
		for (int i = 0; i < 21; i++) {
			all.add(id(i));
		}
		Truth.assertThat(this.placement.place(request(5_000, Duration.ZERO, all)).reason())
			.isEqualTo("no other endpoint");
	}

	private void shortRequests(int count) {
		for (int i = 0; i < count; i++) {
			this.demands.shortBegan(NAME);
		}
	}

	private void busy(double unread) {
		for (int i = 0; i < 21; i++) {
			this.loads.begin(id(i), unread, 0, false, EndpointLoad.ANY_PAUSE);
		}
	}

	private Placement place(long tokens) {
		return this.placement.place(request(tokens, Duration.ZERO, Set.of()));
	}

	private PlacementRequest request(long tokens, Duration waited, Set<EndpointStart> tried) {
		Route route = Route.builder("quick", "hire.example", "/")
			.service(NAME.value())
			.streaming(true)
			.targetLatency(Duration.ofSeconds(3))
			.patience(Duration.ofSeconds((tokens > 100_000) ? 12 : 2))
			.build();
		return new PlacementRequest(route, SERVICE, tokens, 1_200, Duration.ofSeconds((tokens < 20_000) ? 2 : 12),
				waited, tried, new Limits(), new DataCentre("east"));
	}

	private static EndpointStart id(int index) {
		return EndpointStart.untold("engine-" + (char) ('a' + index));
	}

	/**
	 * Limits that the test says are used up.
	 */
	private final class Limits implements EndpointLimits {

		@Override
		public boolean limited(EndpointStart endpoint) {
			return EnginePlacementTests.this.closed.contains(endpoint);
		}

		@Override
		public boolean open(EndpointStart endpoint) {
			return !limited(endpoint);
		}

		@Override
		public void sent(EndpointStart endpoint) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt) {
			throw new UnsupportedOperationException();
		}

	}

}
