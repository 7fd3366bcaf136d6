package org.bramleyscale.internal.gateway.evacuation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.follow.FollowOrder;
import org.bramleyscale.internal.gateway.follow.FollowTimes;
import org.bramleyscale.internal.gateway.follow.StoreFollower;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link EvacuatedDataCentres} on one daemon.
 */
class EvacuatedDataCentresTests {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<String> lines = new ArrayList<>();

	private final EvacuationStore store = new EvacuationStore(this.scheduler, EvacuationStore.KIND);

	private final EvacuatedDataCentres evacuated = new EvacuatedDataCentres(this.scheduler, LIMIT,
			Duration.ofSeconds(6), () -> List.of(EvacuationFleet.endpoint("east"), EvacuationFleet.endpoint("west")),
			(kind, subject, fields) -> this.lines.add(List.of(subject) + " " + List.of(fields)));

	EvacuatedDataCentresTests() {
		this.evacuated.follow(new StoreFollower(EvacuationStore.KIND, this.scheduler, new Random(1),
				this.store.new Access(this.scheduler, EvacuationStore.CallOutcome.WORKS), this.evacuated.copies(),
				new First(), FollowTimes.within(LIMIT), DecisionLog.NONE));
	}

	private Duration blocked(String dataCentre) {
		return this.evacuated.blockedFor(EvacuationFleet.endpoint(dataCentre), RequestScope.ANY);
	}

	@Test
	void allEndpointsAreBlockedUntilTheEvacuationsAreKnown() {
		Truth.assertThat(this.evacuated.known()).isFalse();
		Truth.assertThat(blocked("east")).isGreaterThan(Duration.ZERO);
		Truth.assertThat(this.evacuated.reason()).isEqualTo("evacuations not known yet");
		Truth.assertThat(this.evacuated.leavesLanes(EvacuationFleet.endpoint("east"))).isFalse();
		this.evacuated.start();
		this.scheduler.advance(Duration.ofMillis(200));
		Truth.assertThat(this.evacuated.known()).isTrue();
		Truth.assertThat(blocked("east")).isEqualTo(Duration.ZERO);
	}

	/** Guards against evacuations that aren't in force because of their content. */
	@ParameterizedTest
	@ValueSource(strings = { "{}", "", "torn{", "[7]", "null", "{\"until\":7}" })
	void existenceOfTheObjectRequestsTheEvacuation(String content) {
		this.evacuated.start();
		this.scheduler.advance(Duration.ofMillis(200));
		this.store.put("east", content.getBytes());
		this.scheduler.advance(Duration.ofMillis(10));
		Truth.assertThat(blocked("east")).isEqualTo(Duration.ofSeconds(1));
		Truth.assertThat(this.evacuated.reason()).isEqualTo("all endpoints evacuated");
		Truth.assertThat(this.evacuated.leavesLanes(EvacuationFleet.endpoint("east"))).isTrue();
		Truth.assertThat(blocked("west")).isEqualTo(Duration.ZERO);
		Truth.assertThat(this.evacuated.leavesLanes(EvacuationFleet.endpoint("west"))).isFalse();
		Truth.assertThat(this.evacuated.isEvacuated(new DataCentre("east"))).isTrue();
		Truth.assertThat(this.evacuated.count()).isEqualTo(1);
		Truth.assertThat(this.evacuated.dump()).containsAtLeast("known", true, "inForce", List.of("east"));
	}

	@Test
	void beginAndEndAreLoggedOnceWithTheEndpoints() {
		this.evacuated.start();
		this.scheduler.advance(Duration.ofMillis(200));
		this.lines.clear();
		this.store.put("east", "{}".getBytes());
		this.scheduler.advance(Duration.ofSeconds(1));
		this.store.put("east", "{\"a\":1}".getBytes());
		this.scheduler.advance(Duration.ofSeconds(1));
		this.store.delete("east");
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.lines)
			.containsExactly("[evacuation, east] [in_force, true, revision, 2, count, 1, endpoints, [e-east]]",
					"[evacuation, east] [in_force, false, revision, 4, count, 1, endpoints, [e-east]]")
			.inOrder();
	}

	/** Guards against one name that no data centre can have and that stops the rest. */
	@ParameterizedTest
	@ValueSource(strings = { "~east", "-" })
	void invalidNameAffectsNoDataCentre(String name) {
		this.store.put(name, "{}".getBytes());
		this.store.put("west", "{}".getBytes());
		this.evacuated.start();
		this.scheduler.advance(Duration.ofMillis(200));
		Truth.assertThat(blocked("east")).isEqualTo(Duration.ZERO);
		Truth.assertThat(blocked("west")).isGreaterThan(Duration.ZERO);
		this.store.delete(name);
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.evacuated.count()).isEqualTo(1);
	}

	/** Guards against an empty list at revision 0 that is read again and again. */
	@Test
	void emptyListAtRevisionZeroCountsAsListed() {
		this.evacuated.copies().applyList(new WatchBatch(0, false, List.of()));
		Truth.assertThat(this.evacuated.copies().listed()).isTrue();
		Truth.assertThat(this.evacuated.known()).isFalse();
		this.evacuated.copies().confirm(this.scheduler.nanos());
		Truth.assertThat(this.evacuated.known()).isTrue();
	}

	/** Guards against requests to a data centre whose evacuation an older copy lacks. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void evacuationThatAnOlderCopyLacksStaysUntilItIsRequestedAgain(boolean requestedAgain) {
		ObjectKey east = new ObjectKey(EvacuationStore.KIND, "east");
		long requestedAt = StoreRevision.of(1, 20);
		this.evacuated.copies()
			.applyList(new WatchBatch(requestedAt, false, List.of(new StoredObject(east, requestedAt, new byte[0]))));
		this.evacuated.copies().applyList(new WatchBatch(StoreRevision.of(2, 10), false, List.of()));
		Truth.assertThat(this.evacuated.count()).isEqualTo(1);
		if (requestedAgain) {
			long again = StoreRevision.of(2, 12);
			this.evacuated.copies()
				.applyChanges(new WatchBatch(again, false, List.of(new StoredObject(east, again, new byte[0]))));
		}
		this.scheduler.advance(EvacuatedDataCentres.REQUESTED_AGAIN_WITHIN);
		Truth.assertThat(this.evacuated.count()).isEqualTo(requestedAgain ? 1 : 0);
	}

	/**
	 * Guards against an evacuation that returns for good. Sequence: a watch is answered,
	 * then the object is deleted, and a peer's later state arrives before the answer.
	 */
	@Test
	void answerThatIsOlderThanTheCopiesChangesNothing() {
		this.evacuated.copies().applyList(new WatchBatch(20, false, List.of()));
		StoredObject deletedMeanwhile = new StoredObject(new ObjectKey(EvacuationStore.KIND, "east"), 12, new byte[0]);
		this.evacuated.copies().applyChanges(new WatchBatch(12, false, List.of(deletedMeanwhile)));
		this.evacuated.copies().applyChanges(new WatchBatch(21, false, List.of(deletedMeanwhile)));
		Truth.assertThat(this.evacuated.count()).isEqualTo(0);
		Truth.assertThat(this.evacuated.copies().complete()).isEqualTo(21);
	}

	/**
	 * The order of a daemon that follows the store by itself.
	 */
	private static final class First implements FollowOrder {

		@Override
		public int rank() {
			return 0;
		}

		@Override
		public boolean isolated() {
			return false;
		}

	}

}
