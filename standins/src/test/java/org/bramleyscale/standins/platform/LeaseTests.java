package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.lease.Lease;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests leases under pauses, races, lost replies, slow calls and outages. The cluster
 * checks throughout that at most one daemon holds the lease and that lease numbers
 * increase.
 */
class LeaseTests {

	private static final Duration LEASE_TIME = LeaseCluster.SETTINGS.duration();

	@Test
	void renewsAsLongAsThePlatformAnswers() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.advance(LEASE_TIME.multipliedBy(20));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(0));
		Truth.assertThat(cluster.daemon(0).events()).containsExactly("taken 1");
	}

	@Test
	void takesOverFromAnUnresponsiveHolder() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.daemon(0).scheduler().pause();
		cluster.advance(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(1));
	}

	@Test
	void takesAReleasedLeaseWithoutWaitingForItsExpiry() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.daemon(0).manager().release(LeaseCluster.LEASE);
		cluster.advance(LeaseCluster.SETTINGS.renewInterval().multipliedBy(2));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(1));
		Truth.assertThat(cluster.daemon(0).events()).containsExactly("taken 1", "lost 1").inOrder();
	}

	@Test
	void acquiresAgainAfterRelease() {
		LeaseCluster cluster = new LeaseCluster(1).started();
		cluster.daemon(0).manager().release(LeaseCluster.LEASE);
		cluster.daemon(0).acquire();
		cluster.advance(LEASE_TIME);
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(0));
		Truth.assertThat(cluster.numbers()).hasSize(2);
	}

	@Test
	void releasesALeaseWhoseWriteCompletesAfterTheRelease() {
		// Symptom: a lease remains held by a daemon that has released it.
		// Sequence: the write that takes the lease is slow, and the daemon releases the
		// lease before the reply arrives.
		// Cause: the late reply is not handled, so the lease is not given back.
		LeaseCluster cluster = new LeaseCluster(2);
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, Duration.ofSeconds(1));
		cluster.daemon(0).acquire();
		cluster.advance(Duration.ofMillis(500));
		cluster.daemon(0).manager().release(LeaseCluster.LEASE);
		cluster.daemon(1).acquire();
		cluster.advance(LEASE_TIME.dividedBy(2));
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(1));
	}

	@Test
	void pausedHolderDoesNotActAfterItsExpiry() {
		// Symptom: two daemons send orders to one engine.
		// Sequence: the holder is paused past the expiry, another daemon takes the lease,
		// the first one resumes and acts before its timers have run.
		// Cause: it relies on its state from before the pause.
		LeaseCluster cluster = new LeaseCluster(2).started();
		Lease old = cluster.daemon(0).manager().lease(LeaseCluster.LEASE).orElseThrow();
		cluster.daemon(0).scheduler().pause();
		cluster.advance(LEASE_TIME.multipliedBy(3));
		Truth.assertThat(old.held()).isFalse();
		cluster.daemon(0).scheduler().resume();
		cluster.advance(LEASE_TIME);
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(1));
		Lease current = cluster.daemon(1).manager().lease(LeaseCluster.LEASE).orElseThrow();
		Truth.assertThat(current.number()).isGreaterThan(old.number());
	}

	@Test
	void oneOfManyClaimantsWins() {
		// Symptom: two daemons both believe that they acquired the lease.
		// Sequence: all daemons start at the same time, or see the lease expire at the
		// same time.
		// Cause: reading and writing the lease are two separate calls.
		LeaseCluster cluster = new LeaseCluster(7);
		for (int daemon = 0; daemon < 7; daemon++) {
			cluster.daemon(daemon).acquire();
		}
		cluster.advance(Duration.ofSeconds(1));
		Truth.assertThat(cluster.holders()).hasSize(1);
		cluster.holders().get(0).scheduler().pause();
		cluster.advance(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).hasSize(1);
		Truth.assertThat(cluster.numbers()).hasSize(2);
	}

	@ParameterizedTest
	@EnumSource(names = { "LOST_REPLY", "SLOW_REPLY" })
	void resolvesATakeWithoutReplyByReadingBack(PlatformFault.Kind kind) {
		// Symptom: no daemon acts for a whole lease duration although one holds the
		// lease.
		// Sequence: the write that takes the lease succeeds, but its reply is lost.
		// Cause: the daemon does not know that it holds the lease.
		LeaseCluster cluster = new LeaseCluster(1);
		inject(cluster, kind, PlatformOperation.WRITE, 1, Duration.ofSeconds(5));
		cluster.daemon(0).acquire();
		cluster.advance(Duration.ofSeconds(3));
		Truth.assertThat(cluster.daemon(0).events()).containsExactly("taken 1");
	}

	@ParameterizedTest
	@EnumSource(names = { "LOST_REPLY", "SLOW_REPLY", "SLOW", "SILENT", "CONFLICT", "DOWN" })
	void keepsTheLeaseAfterOneFailedRenewal(PlatformFault.Kind kind) {
		// Symptom: the lease moves to another daemon, or expires, at each lost reply.
		// Sequence: a renewal succeeds, its reply is lost, and the next one conflicts.
		// Cause: the holder takes its own write for that of another daemon.
		LeaseCluster cluster = new LeaseCluster(2).started();
		inject(cluster, kind, PlatformOperation.WRITE, 1, Duration.ofSeconds(4));
		cluster.advance(LEASE_TIME.multipliedBy(3));
		Truth.assertThat(cluster.daemon(0).events()).containsExactly("taken 1");
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(0));
	}

	@Test
	void measuresTheLeaseFromTheStartOfItsRenewalCall() {
		// Symptom: the old holder acts after the next one has taken over.
		// Sequence: a renewal takes effect at once, its reply arrives seconds later, and
		// then the holder is partitioned from the platform.
		// Cause: the holder measures the lease from the reply, the claimants from the
		// write.
		LeaseCluster cluster = new LeaseCluster(7, Duration.ofSeconds(8)).started();
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, Duration.ofMillis(5500));
		cluster.advance(LEASE_TIME.minusSeconds(1));
		cluster.daemon(0).store().setPartitioned(true);
		cluster.advance(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).hasSize(1);
		Truth.assertThat(cluster.holders()).doesNotContain(cluster.daemon(0));
	}

	@Test
	void doesNotHoldALeaseWhoseRenewalReplyComesAfterTheExpiry() {
		// Symptom: a daemon acts under a lease that others may have acquired.
		// Sequence: the platform is so slow that the reply to a successful renewal
		// arrives after the expiry.
		// Cause: the reply describes an earlier state.
		LeaseCluster cluster = new LeaseCluster(1, LEASE_TIME.multipliedBy(2)).started();
		LeaseCluster.Daemon daemon = cluster.daemon(0);
		Lease old = daemon.manager().lease(LeaseCluster.LEASE).orElseThrow();
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, LEASE_TIME);
		cluster.advance(LEASE_TIME);
		Truth.assertThat(old.held()).isFalse();
		Truth.assertThat(daemon.events()).containsExactly("taken 1", "lost 1").inOrder();
		cluster.advance(LEASE_TIME);
		Truth.assertThat(old.held()).isFalse();
		Truth.assertThat(daemon.holds()).isTrue();
	}

	@Test
	void doesNotTakeALeaseThatExpiredBeforeTheReply() {
		// Symptom: a daemon starts to act under a lease that has already expired.
		// Sequence: the write that takes the lease succeeds, and its reply arrives late.
		// Cause: the reply describes an earlier state.
		LeaseCluster cluster = new LeaseCluster(1, LEASE_TIME.multipliedBy(2));
		inject(cluster, PlatformFault.Kind.SLOW_REPLY, PlatformOperation.WRITE, 1, LEASE_TIME);
		cluster.daemon(0).acquire();
		cluster.advance(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.daemon(0).holds()).isTrue();
		Truth.assertThat(cluster.daemon(0).events()).containsExactly("taken 2");
	}

	@ParameterizedTest
	@EnumSource
	void ignoresAStepOfTheWallClock(Step step) {
		// Symptom: a lease moves to another daemon when a clock is corrected.
		// Sequence: the wall clock steps forwards or back by a day.
		// Cause: expiry measured by the wall clock.
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.scheduler().stepWallTime(step.by);
		cluster.advance(LEASE_TIME.multipliedBy(3));
		Truth.assertThat(cluster.numbers()).containsExactly(1L);
		Truth.assertThat(cluster.holders()).containsExactly(cluster.daemon(0));
	}

	@ParameterizedTest
	@EnumSource(names = { "DOWN", "SILENT" })
	void noDaemonHoldsTheLeaseInALongOutage(PlatformFault.Kind kind) {
		// Symptom: two daemons hold the lease after the platform recovers, or one acts
		// during the outage although it cannot know whether it still holds the lease.
		// Sequence: the platform is unavailable for longer than the lease duration.
		// Cause: no daemon can renew or acquire the lease.
		LeaseCluster cluster = new LeaseCluster(2).started();
		inject(cluster, kind, null, 0, Duration.ZERO);
		cluster.advance(LEASE_TIME);
		Truth.assertThat(cluster.holders()).isEmpty();
		cluster.advance(LEASE_TIME.multipliedBy(10));
		Truth.assertThat(cluster.holders()).isEmpty();
		cluster.faults().clear();
		cluster.advance(LEASE_TIME.multipliedBy(2));
		Truth.assertThat(cluster.holders()).hasSize(1);
	}

	@Test
	void limitsWritesUnderPersistentConflicts() {
		LeaseCluster cluster = new LeaseCluster(1).started();
		inject(cluster, PlatformFault.Kind.CONFLICT, null, 0, Duration.ZERO);
		long before = writes(cluster);
		cluster.advance(LEASE_TIME);
		Truth.assertThat(writes(cluster) - before).isAtMost(20L);
		cluster.faults().clear();
		cluster.advance(LEASE_TIME);
		Truth.assertThat(cluster.holders()).hasSize(1);
	}

	@Test
	void showsHoldersInTheDump() {
		LeaseCluster cluster = new LeaseCluster(2).started();
		cluster.advance(LEASE_TIME);
		List<String> dumps = List.of(cluster.daemon(0).manager().dump().toString(),
				cluster.daemon(1).manager().dump().toString());
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
	 * Steps of the wall clock.
	 */
	enum Step {

		FORWARDS(Duration.ofDays(1)), BACK(Duration.ofDays(-1));

		private final Duration by;

		Step(Duration by) {
			this.by = by;
		}

	}

}
