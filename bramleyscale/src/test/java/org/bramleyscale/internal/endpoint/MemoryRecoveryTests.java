package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Whatever happens to a reservation, all memory is free again within a stated time.
 */
class MemoryRecoveryTests {

	private static final List<String> ENGINES = List.of("e1", "e2", "e3");

	private final EndpointFleet fleet = new EndpointFleet(4, "e1", "e2", "e3");

	private final List<String> events = new ArrayList<>();

	private Reservations.Reservation reservation;

	@ParameterizedTest
	@EnumSource
	void memoryIsFreeAgainWithinTheStatedTime(Fault fault) {
		// Symptom: engines show memory in use that no request has, until they restart.
		// Sequence: a reservation is made and one of the faults strikes. Cause: nobody
		// who
		// still runs knows that the memory should be released.
		this.fleet.daemons().forEach((daemon) -> daemon.slotsLeft("e1"));
		this.fleet.advance(Duration.ofSeconds(1));
		String holder = holder();
		reserve(holder);
		this.fleet.advance(fault.beforeFault);
		fault.strike(this, holder);
		this.fleet.advance(fault.freeWithin);
		Truth.assertThat(heldKv()).isEqualTo(0);
		this.events.clear();
		this.fleet.advance(Duration.ofSeconds(4));
		reserve(this.fleet.daemons().get(0).incarnation.vm().value());
		this.fleet.advance(Duration.ofSeconds(8));
		Truth.assertThat(this.events).containsExactly("reserved");
	}

	/** A daemon that owns none of the engines, so that its death changes no owner. */
	private String holder() {
		List<String> owners = ENGINES.stream().map(this.fleet::owner).toList();
		return this.fleet.daemons()
			.stream()
			.map((daemon) -> daemon.incarnation.vm().value())
			.filter((vm) -> !owners.contains(vm))
			.findFirst()
			.orElseThrow();
	}

	private void reserve(String vm) {
		EndpointFleet.Daemon daemon = this.fleet.daemon(vm);
		RequestId request = new RequestId(daemon.incarnation, "r" + this.fleet.scheduler.nanos());
		this.reservation = daemon.reservations.reserve(request, EndpointFleet.SERVICE, EndpointFleet.MODEL, 2_400_000,
				Duration.ofSeconds(60), (group) -> this.events.add("reserved"), (failure) -> this.events.add("failed"));
	}

	private long heldKv() {
		return ENGINES.stream().mapToLong((endpoint) -> this.fleet.engines.engine(endpoint).heldKv()).sum();
	}

	private void forgetHolder(String holder) {
		this.fleet.kill(holder);
	}

	/**
	 * What strikes, when, and within which time the memory is free.
	 */
	enum Fault {

		HOLDER_DIES_BETWEEN_RESERVE_AND_USE(Duration.ofMillis(7), HoldTimes.FREED_BY_OWNER) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				test.forgetHolder(holder);
			}
		},

		HOLDER_DIES_IN_USE(Duration.ofSeconds(20), HoldTimes.FREED_BY_OWNER) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				test.forgetHolder(holder);
			}
		},

		RELEASE_TO_THE_OWNER_IS_LOST(Duration.ofSeconds(20), HoldTimes.FREED_BY_OWNER) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				test.fleet.network().cut(test.fleet.daemon(holder).incarnation.vm());
				test.reservation.close();
				test.fleet.network().heal(test.fleet.daemon(holder).incarnation.vm());
			}
		},

		RELEASE_AT_THE_ENGINE_IS_LOST(Duration.ofSeconds(20), HoldTimes.FREED_BY_OWNER) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				ENGINES.forEach((engine) -> test.fleet.engines.engine(engine).releasesLost = 1);
				test.reservation.close();
			}
		},

		HOLDER_AND_OWNERS_DIE_TOGETHER(Duration.ofSeconds(20), HoldTimes.FREED_ALWAYS) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				List<String> owners = ENGINES.stream().map(test.fleet::owner).distinct().toList();
				owners.forEach(test.fleet::kill);
				test.fleet.kill(holder);
			}
		},

		HOLDER_AND_OWNERS_DIE_WHILE_THE_PLATFORM_IS_DOWN(Duration.ofSeconds(20), HoldTimes.FREED_ALWAYS) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				List<String> owners = ENGINES.stream().map(test.fleet::owner).distinct().toList();
				test.fleet.leases().outage();
				owners.forEach(test.fleet::kill);
				test.fleet.kill(holder);
				test.fleet.scheduler.schedule(HoldTimes.FREED_ALWAYS, test.fleet.leases()::recovered);
			}
		},

		HOLDER_DIES_WHILE_THE_PLATFORM_IS_DOWN(Duration.ofSeconds(20), HoldTimes.FREED_ALWAYS) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				test.fleet.leases().outage();
				test.fleet.kill(holder);
				test.fleet.scheduler.schedule(HoldTimes.FREED_ALWAYS, test.fleet.leases()::recovered);
			}
		},

		OWNER_DIES_AND_THE_HOLDER_GIVES_BACK(Duration.ofSeconds(20), HoldTimes.FREED_BY_OWNER) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				test.fleet.kill(test.fleet.owner("e1"));
				test.reservation.close();
			}
		},

		ENGINES_RESTART(Duration.ofSeconds(20), Duration.ofSeconds(6)) {
			@Override
			void strike(MemoryRecoveryTests test, String holder) {
				ENGINES.forEach((engine) -> test.fleet.engines.engine(engine).restart());
				test.reservation.close();
			}
		};

		private final Duration beforeFault;

		private final Duration freeWithin;

		Fault(Duration beforeFault, Duration freeWithin) {
			this.beforeFault = beforeFault;
			this.freeWithin = freeWithin;
		}

		abstract void strike(MemoryRecoveryTests test, String holder);

	}

}
