package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Reserved memory is released within a fixed time under all faults of holders, owners,
 * engines and the platform.
 */
class MemoryRecoveryTests {

	private static final List<String> ENGINES = List.of("e1", "e2", "e3");

	private final EndpointFleet fleet = new EndpointFleet(4, "e1", "e2", "e3");

	private final List<String> events = new ArrayList<>();

	private Reservations.Reservation reservation;

	@ParameterizedTest
	@EnumSource
	void memoryIsReleasedWithinTheBoundOfTheFault(Fault fault) {
		// Guards against leaked holds: a fault occurs after a reservation is made, and
		// no running process knows that the memory should be released. The engine then
		// shows memory in use without a request until it restarts.
		this.fleet.daemons().forEach((daemon) -> daemon.availableSlots("e1"));
		this.fleet.advance(Duration.ofSeconds(1));
		String holder = holder();
		reserve(holder);
		this.fleet.advance(fault.delay);
		fault.inject(this, holder);
		this.fleet.advance(fault.maxRetention);
		Truth.assertThat(heldKv()).isEqualTo(0);
		this.events.clear();
		this.fleet.advance(Duration.ofSeconds(4));
		reserve(this.fleet.daemons().get(0).incarnation.vm().value());
		this.fleet.advance(Duration.ofSeconds(8));
		Truth.assertThat(this.events).containsExactly("reserved");
	}

	/** Returns a daemon that owns no engine, so that its crash changes no owner. */
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

	private void killHolder(String holder) {
		this.fleet.kill(holder);
	}

	/**
	 * A fault, when it occurs, and the time within which the memory must be free.
	 */
	enum Fault {

		HOLDER_CRASHES_BETWEEN_RESERVE_AND_USE(Duration.ofMillis(7), HoldTimes.MAX_RETENTION_WITH_OWNER) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				test.killHolder(holder);
			}
		},

		HOLDER_CRASHES_IN_USE(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION_WITH_OWNER) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				test.killHolder(holder);
			}
		},

		RELEASE_TO_THE_OWNER_IS_LOST(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION_WITH_OWNER) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				test.fleet.network().partition(test.fleet.daemon(holder).incarnation.vm());
				test.reservation.close();
				test.fleet.network().heal(test.fleet.daemon(holder).incarnation.vm());
			}
		},

		RELEASE_AT_THE_ENGINE_IS_LOST(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION_WITH_OWNER) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				ENGINES.forEach((engine) -> test.fleet.engines.engine(engine).releasesToFail = 1);
				test.reservation.close();
			}
		},

		HOLDER_AND_OWNERS_CRASH_TOGETHER(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				List<String> owners = ENGINES.stream().map(test.fleet::owner).distinct().toList();
				owners.forEach(test.fleet::kill);
				test.fleet.kill(holder);
			}
		},

		HOLDER_AND_OWNERS_CRASH_DURING_PLATFORM_OUTAGE(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				List<String> owners = ENGINES.stream().map(test.fleet::owner).distinct().toList();
				test.fleet.leases().startOutage();
				owners.forEach(test.fleet::kill);
				test.fleet.kill(holder);
				test.fleet.scheduler.schedule(HoldTimes.MAX_RETENTION, test.fleet.leases()::endOutage);
			}
		},

		HOLDER_CRASHES_DURING_PLATFORM_OUTAGE(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				test.fleet.leases().startOutage();
				test.fleet.kill(holder);
				test.fleet.scheduler.schedule(HoldTimes.MAX_RETENTION, test.fleet.leases()::endOutage);
			}
		},

		OWNER_CRASHES_AND_HOLDER_RELEASES(Duration.ofSeconds(20), HoldTimes.MAX_RETENTION_WITH_OWNER) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				test.fleet.kill(test.fleet.owner("e1"));
				test.reservation.close();
			}
		},

		ENGINES_RESTART(Duration.ofSeconds(20), Duration.ofSeconds(6)) {
			@Override
			void inject(MemoryRecoveryTests test, String holder) {
				ENGINES.forEach((engine) -> test.fleet.engines.engine(engine).restart());
				test.reservation.close();
			}
		};

		private final Duration delay;

		private final Duration maxRetention;

		Fault(Duration delay, Duration maxRetention) {
			this.delay = delay;
			this.maxRetention = maxRetention;
		}

		abstract void inject(MemoryRecoveryTests test, String holder);

	}

}
