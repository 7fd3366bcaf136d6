package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Reservations for prompts larger than one engine, concurrent with short requests.
 */
class GroupReservationTests {

	private static final Duration WITHIN = Duration.ofSeconds(60);

	private final EndpointFleet fleet = new EndpointFleet(3, "e1", "e2", "e3");

	private final List<String> events = new ArrayList<>();

	private int requests;

	@BeforeEach
	void fetchReports() {
		this.fleet.daemons().forEach((daemon) -> daemon.availableSlots("e1"));
		this.fleet.advance(Duration.ofSeconds(1));
	}

	@Test
	void holdsTheWholeAmountOnAGroupAndReleasesIt() {
		Reservations.Reservation reservation = reserve("vm-1", 2_100_000);
		this.fleet.advance(Duration.ofSeconds(2));
		Truth.assertThat(this.events).containsExactly("reserved 2100000");
		Truth.assertThat(heldKv()).isEqualTo(2_100_000);
		reservation.close();
		this.fleet.advance(Duration.ofSeconds(1));
		Truth.assertThat(heldKv()).isEqualTo(0);
	}

	@Test
	void holdIdsAreValidAsUrlPathSegments() {
		// Guards against hold ids with a slash. In an HTTP path the engine reads the
		// slash as part of another path and refuses every hold, so that no prompt
		// larger than one engine is served.
		this.fleet.daemon("vm-1").reservations.reserve(RequestId.parse("vm-1~1~path"), EndpointFleet.SERVICE,
				EndpointFleet.MODEL, 2_100_000, WITHIN,
				(group) -> group.forEach((member) -> this.events.add(member.hold())), (failure) -> {
				});
		this.fleet.advance(Duration.ofSeconds(2));
		Truth.assertThat(this.events).isNotEmpty();
		this.events.forEach((hold) -> Truth.assertThat(hold).matches("[A-Za-z0-9._~-]+"));
	}

	@Test
	void holdsInUseAreRenewedBeyondTheirLifetimes() {
		reserve("vm-1", 2_100_000);
		this.fleet.advance(Duration.ofMinutes(3));
		Truth.assertThat(heldKv()).isEqualTo(2_100_000);
	}

	@Test
	void failsAndHoldsNothingWhenMemoryIsNotAvailableInTime() {
		reserve("vm-1", 2_500_000);
		this.fleet.advance(Duration.ofSeconds(2));
		reserve("vm-2", 2_500_000);
		this.fleet.advance(WITHIN.plusSeconds(2));
		Truth.assertThat(this.events).containsExactly("reserved 2500000", "failed e1").inOrder();
		Truth.assertThat(heldKv()).isEqualTo(2_500_000);
	}

	@Test
	void reservationsOfTheSameEnginesDoNotDeadlock() {
		// Guards against a deadlock from reserving engines in different orders: one
		// reservation holds e1 and waits for e3, the other holds e3 and waits for e1,
		// until both time out.
		Reservations.Reservation first = reserve("vm-1", 2_400_000);
		Reservations.Reservation second = reserve("vm-2", 2_400_000);
		this.fleet.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.events).hasSize(1);
		first.close();
		second.close();
		reserve("vm-3", 2_400_000);
		this.fleet.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.events).hasSize(2);
	}

	@Test
	void collectsMemoryWhileShortRequestsContinue() {
		// Guards against starvation of a large reservation: without collection, each
		// freed amount of memory is granted to the next short request.
		generateLoad(300);
		this.fleet.advance(Duration.ofSeconds(5));
		reserve("vm-1", 2_100_000);
		int finishedBefore = this.finished;
		this.fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(this.events).containsExactly("reserved 2100000");
		Truth.assertThat(this.finished - finishedBefore).isGreaterThan(40);
	}

	@Test
	void shortRequestsStartWhileLongRequestsDrain() {
		// Guards against short requests stalling for minutes on an engine where a
		// reservation waits for its memory: long requests hold most of the memory, and
		// without a part kept for short requests all freed memory goes to the
		// reservation.
		EndpointFleet.Daemon longRequests = this.fleet.daemon("vm-2");
		for (int i = 0; i < 100; i++) {
			longRequests.pool.requestCapacity(EndpointFleet.SERVICE, EndpointFleet.MODEL, 100_000);
			List.of("e1", "e2", "e3")
				.forEach((endpoint) -> longRequests.tryRun(endpoint, 100_000, Duration.ofSeconds(30)));
			this.fleet.advance(Duration.ofMillis(20));
		}
		reserve("vm-1", 2_400_000);
		this.fleet.advance(Duration.ofSeconds(5));
		EndpointFleet.Daemon shortRequests = this.fleet.daemon("vm-3");
		int started = 0;
		for (int i = 0; i < 100; i++) {
			started += shortRequests.tryRun("e1", 20_000, Duration.ofMillis(500)) ? 1 : 0;
			this.fleet.advance(Duration.ofMillis(100));
		}
		Truth.assertThat(started).isAtLeast(15);
		Truth.assertThat(this.events).isEmpty();
		this.fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(this.events).containsExactly("reserved 2400000");
	}

	@Test
	void backfillDoesNotStarveAReservation() {
		// Guards against a reservation waiting until it times out: if the part kept
		// for short requests isn't bounded, each request that ends is replaced by the
		// next.
		for (int i = 0; i < 400; i++) {
			for (EndpointFleet.Daemon daemon : this.fleet.daemons()) {
				List.of("e1", "e2", "e3").forEach((endpoint) -> daemon.tryRun(endpoint, 20_000, Duration.ofSeconds(8)));
			}
			this.fleet.advance(Duration.ofMillis(100));
			if (i == 100) {
				reserve("vm-1", 2_500_000);
			}
		}
		Truth.assertThat(this.events).containsExactly("reserved 2500000");
	}

	@Test
	void enginesAreReservedInAFixedOrderRegardlessOfLoad() {
		// Guards against a deadlock from reserving the engine with the most free
		// memory first: both engines are busy, one reservation is planned while e1 has
		// more, the other while e2 has more; when both engines become free, each
		// reservation holds one engine and waits for the other until both time out.
		this.fleet.engines.engine("e3").kvCapacity = 1_000;
		setKvUsed(400_000, 500_000);
		Reservations.Reservation first = reserve("vm-1", 1_500_000);
		this.fleet.advance(Duration.ofSeconds(5));
		setKvUsed(500_000, 400_000);
		Reservations.Reservation second = reserve("vm-2", 1_500_000);
		this.fleet.advance(Duration.ofSeconds(5));
		setKvUsed(0, 0);
		Truth.assertThat(this.events).hasSize(1);
		first.close();
		second.close();
	}

	private void setKvUsed(long first, long second) {
		this.fleet.engines.engine("e1").kvUsed = first;
		this.fleet.engines.engine("e2").kvUsed = second;
		this.fleet.daemons().forEach((daemon) -> daemon.availableSlots("e1"));
		this.fleet.advance(Duration.ofSeconds(6));
	}

	@Test
	void releasesAnEngineThatStartsLeavingWhileWaitingForAnother() {
		// Guards against sending a prompt to an engine seconds after it announced that
		// it will stop: e1 holds its part and the request waits for e2; e1 announces
		// to stop, then e2 has enough memory. The planned group must be checked again.
		List<String> group = new ArrayList<>();
		EndpointFleet.Daemon daemon = this.fleet.daemon("vm-1");
		this.fleet.engines.engine("e2").kvUsed = 900_000;
		daemon.reservations.reserve(new RequestId(daemon.incarnation, "r1"), EndpointFleet.SERVICE, EndpointFleet.MODEL,
				1_200_000, WITHIN,
				(members) -> members.forEach((member) -> group.add(member.endpoint().name().value())),
				(ServingException failure) -> group.add("failed " + failure.peer()));
		this.fleet.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.fleet.engines.engine("e1").heldKv()).isGreaterThan(0);
		this.fleet.engines.engine("e1").leaving = true;
		this.fleet.advance(Duration.ofSeconds(6));
		Truth.assertThat(this.fleet.engines.engine("e1").heldKv()).isEqualTo(0);
		this.fleet.engines.engine("e2").kvUsed = 0;
		this.fleet.advance(Duration.ofSeconds(6));
		Truth.assertThat(group).containsExactly("e2", "e3").inOrder();
	}

	private int finished;

	private void generateLoad(int rounds) {
		for (EndpointFleet.Daemon daemon : this.fleet.daemons()) {
			for (String endpoint : List.of("e1", "e2", "e3")) {
				this.finished += daemon.tryRun(endpoint, 100_000, Duration.ofSeconds(1)) ? 1 : 0;
			}
		}
		if (rounds > 0) {
			this.fleet.scheduler.schedule(Duration.ofMillis(100), () -> generateLoad(rounds - 1));
		}
	}

	private Reservations.Reservation reserve(String vm, long kvTokens) {
		EndpointFleet.Daemon daemon = this.fleet.daemon(vm);
		RequestId request = new RequestId(daemon.incarnation, "r" + this.requests++);
		return daemon.reservations.reserve(request, EndpointFleet.SERVICE, EndpointFleet.MODEL, kvTokens, WITHIN,
				(group) -> this.events
					.add("reserved " + group.stream().mapToLong(Reservations.GroupMember::kvTokens).sum()),
				(ServingException failure) -> this.events.add("failed " + failure.peer()));
	}

	private long heldKv() {
		return List.of("e1", "e2", "e3")
			.stream()
			.mapToLong((endpoint) -> this.fleet.engines.engine(endpoint).heldKv())
			.sum();
	}

}
