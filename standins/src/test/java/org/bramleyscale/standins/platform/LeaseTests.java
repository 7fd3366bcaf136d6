package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.lease.Lease;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Leases under pauses, races, lost replies, slowness and outages. The cluster checks all
 * along that no two daemons hold the lease and that numbers grow.
 */
class LeaseTests {

	private static final Duration LEASE_TIME = LeaseCluster.SETTINGS.duration();

	@Test
	void renewsAsLongAsThePlatformAnswers() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.pass(LEASE_TIME.multipliedBy(20));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(0));
		Truth.assertThat(cluster.seat(0).events()).containsExactly("taken 1");
	}

	@Test
	void takesOverFromADeadHolder() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.seat(0).scheduler().pause();
		cluster.pass(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(1));
	}

	@Test
	void takesAGivenBackLeaseWithoutWaitingForItsExpiry() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.seat(0).manager().release(LeaseCluster.LEASE);
		cluster.pass(LeaseCluster.SETTINGS.renewEvery().multipliedBy(2));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(1));
		Truth.assertThat(cluster.seat(0).events()).containsExactly("taken 1", "lost 1").inOrder();
	}

	@Test
	void seeksAgainAfterGivingBack() {
		LeaseCluster cluster = new LeaseCluster(1).started();
		cluster.seat(0).manager().release(LeaseCluster.LEASE);
		cluster.seat(0).seek();
		cluster.pass(LEASE_TIME);
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(0));
		Truth.assertThat(cluster.numbers()).hasSize(2);
	}

	@Test
	void givesBackALeaseThatArrivesAfterItsRelease() {
		// Symptom: a lease stays with a daemon that no longer wants it.
		// Sequence: the write that takes it is slow, and the daemon releases meanwhile.
		// Cause: the reply finds nobody who would give the lease back.
		LeaseCluster cluster = new LeaseCluster(2);
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, Duration.ofSeconds(1));
		cluster.seat(0).seek();
		cluster.pass(Duration.ofMillis(500));
		cluster.seat(0).manager().release(LeaseCluster.LEASE);
		cluster.seat(1).seek();
		cluster.pass(LEASE_TIME.dividedBy(2));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(1));
	}

	@Test
	void pausedHolderDoesNotActAfterItsExpiry() {
		// Symptom: two daemons give orders to one engine.
		// Sequence: the holder is paused past the expiry, another takes the lease, the
		// first wakes up and acts before its timers have run.
		// Cause: it trusts what it knew before the pause.
		LeaseCluster cluster = new LeaseCluster(2).started();
		Lease old = cluster.seat(0).manager().lease(LeaseCluster.LEASE).orElseThrow();
		cluster.seat(0).scheduler().pause();
		cluster.pass(LEASE_TIME.multipliedBy(3));
		Truth.assertThat(old.held()).isFalse();
		cluster.seat(0).scheduler().resume();
		cluster.pass(LEASE_TIME);
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(1));
		Lease current = cluster.seat(1).manager().lease(LeaseCluster.LEASE).orElseThrow();
		Truth.assertThat(current.number()).isGreaterThan(old.number());
	}

	@Test
	void oneOfManyClaimantsWins() {
		// Symptom: two daemons believe that they took the lease.
		// Sequence: all of them start at the same moment, or see it expire together.
		// Cause: reading and writing are two calls.
		LeaseCluster cluster = new LeaseCluster(7);
		for (int seat = 0; seat < 7; seat++) {
			cluster.seat(seat).seek();
		}
		cluster.pass(Duration.ofSeconds(1));
		Truth.assertThat(cluster.holders()).hasSize(1);
		cluster.holders().get(0).scheduler().pause();
		cluster.pass(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).hasSize(1);
		Truth.assertThat(cluster.numbers()).hasSize(2);
	}

	@ParameterizedTest
	@EnumSource(names = { "LOST_REPLY", "SLOW_REPLY" })
	void settlesATakeWithoutReplyByReadingBack(PlatformFault.Kind kind) {
		// Symptom: nobody acts for a whole lease time although a daemon holds the lease.
		// Sequence: the write that takes it has its effect, but the reply doesn't come.
		// Cause: the daemon doesn't know that the lease is its own.
		LeaseCluster cluster = new LeaseCluster(1);
		inject(cluster, kind, PlatformOperation.WRITE, 1, Duration.ofSeconds(5));
		cluster.seat(0).seek();
		cluster.pass(Duration.ofSeconds(3));
		Truth.assertThat(cluster.seat(0).events()).containsExactly("taken 1");
	}

	@ParameterizedTest
	@EnumSource(names = { "LOST_REPLY", "SLOW_REPLY", "SLOW", "SILENT", "CONFLICT", "DOWN" })
	void keepsTheLeaseOverOneRenewalThatGoesWrong(PlatformFault.Kind kind) {
		// Symptom: the lease changes hands, or lapses, at each lost reply.
		// Sequence: a renewal takes effect, the reply is lost, the next one conflicts.
		// Cause: the holder takes its own write for somebody else's.
		LeaseCluster cluster = new LeaseCluster(2).started();
		inject(cluster, kind, PlatformOperation.WRITE, 1, Duration.ofSeconds(4));
		cluster.pass(LEASE_TIME.multipliedBy(3));
		Truth.assertThat(cluster.seat(0).events()).containsExactly("taken 1");
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(0));
	}

	@Test
	void countsALeaseFromBeforeTheCallThatRenewedIt() {
		// Symptom: the old holder acts after the next one has taken over.
		// Sequence: a renewal takes effect at once, its reply comes seconds later, and
		// then the holder is cut off.
		// Cause: the holder counts the lease from the reply, the claimants from the
		// effect.
		LeaseCluster cluster = new LeaseCluster(7, Duration.ofSeconds(8)).started();
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, Duration.ofMillis(5500));
		cluster.pass(LEASE_TIME.minusSeconds(1));
		cluster.seat(0).store().cutOff(true);
		cluster.pass(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).hasSize(1);
		Truth.assertThat(cluster.holders()).doesNotContain(cluster.seat(0));
	}

	@Test
	void doesNotHoldALeaseWhoseRenewalStraddledTheExpiry() {
		// Symptom: a daemon acts under a lease that others may have taken.
		// Sequence: the platform is so slow that the reply to a renewal comes after the
		// expiry, and says that it succeeded.
		// Cause: the reply tells of the past.
		LeaseCluster cluster = new LeaseCluster(1, LEASE_TIME.multipliedBy(2)).started();
		LeaseCluster.Seat seat = cluster.seat(0);
		Lease old = seat.manager().lease(LeaseCluster.LEASE).orElseThrow();
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, LEASE_TIME);
		cluster.pass(LEASE_TIME);
		Truth.assertThat(old.held()).isFalse();
		Truth.assertThat(seat.events()).containsExactly("taken 1", "lost 1").inOrder();
		cluster.pass(LEASE_TIME);
		Truth.assertThat(old.held()).isFalse();
		Truth.assertThat(seat.holds()).isTrue();
	}

	@Test
	void doesNotTakeALeaseWhoseTimeIsOverWhenTheReplyComes() {
		// Symptom: a daemon begins to act under a lease that has already lapsed.
		// Sequence: the write that takes it has its effect, the reply comes late.
		// Cause: the reply tells of the past.
		LeaseCluster cluster = new LeaseCluster(1, LEASE_TIME.multipliedBy(2));
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, LEASE_TIME);
		cluster.seat(0).seek();
		cluster.pass(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.seat(0).holds()).isTrue();
		Truth.assertThat(cluster.seat(0).events()).containsExactly("taken 2");
	}

	@ParameterizedTest
	@EnumSource
	void ignoresAStepOfTheTimeOfDay(Step step) {
		// Symptom: a lease changes hands when a clock is corrected.
		// Sequence: the time of day steps forwards or back by a day.
		// Cause: expiry counted by the time of day.
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.scheduler().stepWallTime(step.by);
		cluster.pass(LEASE_TIME.multipliedBy(3));
		Truth.assertThat(cluster.numbers()).containsExactly(1L);
		Truth.assertThat(cluster.holders()).containsExactly(cluster.seat(0));
	}

	@ParameterizedTest
	@EnumSource(names = { "DOWN", "SILENT" })
	void nobodyHoldsTheLeaseInALongOutage(PlatformFault.Kind kind) {
		// Symptom: two daemons hold the lease once the platform is back, or one acts
		// during the outage although it can't know that it still holds the lease.
		// Sequence: the platform is out for longer than the lease, then comes back.
		// Cause: nobody can renew or take.
		LeaseCluster cluster = new LeaseCluster(2).started();
		inject(cluster, kind, null, 0, Duration.ZERO);
		cluster.pass(LEASE_TIME);
		Truth.assertThat(cluster.holders()).isEmpty();
		cluster.pass(LEASE_TIME.multipliedBy(10));
		Truth.assertThat(cluster.holders()).isEmpty();
		cluster.faults().clear();
		cluster.pass(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).hasSize(1);
	}

	@Test
	void doesNotStormThePlatformWithConflicts() {
		LeaseCluster cluster = new LeaseCluster(1).started();
		inject(cluster, PlatformFault.Kind.CONFLICT, null, 0, Duration.ZERO);
		long before = writes(cluster);
		cluster.pass(LEASE_TIME);
		Truth.assertThat(writes(cluster) - before).isAtMost(20L);
		cluster.faults().clear();
		cluster.pass(LEASE_TIME);
		Truth.assertThat(cluster.holders()).hasSize(1);
	}

	@Test
	void showsHoldersInTheDump() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.pass(LEASE_TIME);
		List<String> dumps = List.of(cluster.seat(0).manager().dump().toString(),
				cluster.seat(1).manager().dump().toString());
		Truth.assertThat(dumps.get(0)).contains("holder=entry-0~1, number=1");
		Truth.assertThat(dumps.get(1)).contains("holder=entry-0~1, number=0");
	}

	private static long writes(LeaseCluster cluster) {
		return cluster.platform().state().calls().getOrDefault(PlatformOperation.WRITE, 0L);
	}

	private static void inject(LeaseCluster cluster, PlatformFault.Kind kind, PlatformOperation operation, int calls,
			Duration delay) {
		cluster.faults().inject(new PlatformFault(kind, operation, calls, delay));
	}

	/**
	 * Steps of the time of day.
	 */
	enum Step {

		FORWARDS(Duration.ofDays(1)), BACK(Duration.ofDays(-1));

		private final Duration by;

		Step(Duration by) {
			this.by = by;
		}

	}

}
