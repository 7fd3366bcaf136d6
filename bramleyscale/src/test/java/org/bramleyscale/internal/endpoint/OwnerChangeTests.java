package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.RequestId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Grants and holds during crashes, partitions and restarts of owners, entries, engines
 * and the platform.
 */
class OwnerChangeTests {

	private static final Duration LONG = Duration.ofMinutes(10);

	private final EndpointFleet fleet = new EndpointFleet(5, "e1");

	private String owner;

	private List<EndpointFleet.Daemon> entries;

	@BeforeEach
	void findOwner() {
		this.owner = this.fleet.owner("e1");
		this.entries = this.fleet.daemons()
			.stream()
			.filter((daemon) -> !daemon.incarnation.vm().value().equals(this.owner))
			.toList();
	}

	@Test
	void entriesKeepStartingRequestsAfterOwnerCrash() {
		EndpointFleet.Daemon entry = this.entries.get(0);
		startRequests(entry, 6, LONG);
		this.fleet.kill(this.owner);
		this.fleet.advance(Duration.ofSeconds(3));
		Truth.assertThat(startRequests(entry, 40, LONG)).isAtLeast(4);
		Truth.assertThat(inFlight()).isAtMost(16);
	}

	@Test
	void newOwnerDoesNotRegrantCapacityOfAnUnreachableEntry() {
		// Guards against a new owner that starts with an empty account: one entry
		// holds a grant and is partitioned from the new owner while another entry
		// demands all, so that the endpoint gets nearly twice its capacity.
		EndpointFleet.Daemon partitioned = this.entries.get(0);
		EndpointFleet.Daemon other = this.entries.get(1);
		startRequests(partitioned, 12, Duration.ofMillis(1));
		startRequests(other, 1, LONG);
		int held = partitioned.availableSlots("e1");
		Truth.assertThat(held).isAtLeast(4);
		this.fleet.network().partition(partitioned.incarnation.vm());
		this.fleet.kill(this.owner);
		this.fleet.advance(Duration.ofMillis(100));
		startRequests(other, 40, LONG);
		startRequests(partitioned, 40, LONG);
		Truth.assertThat(inFlight()).isAtMost(16 + 1);
	}

	@Test
	void ownerKeepsGrantingDuringPlatformOutage() {
		// Guards against owners that stop granting when their leases lapse in a long
		// platform outage, which throttles every endpoint to one request per entry.
		// Unlike orders, grants don't need the lease.
		this.fleet.leases().startOutage();
		EndpointFleet.Daemon entry = this.entries.get(0);
		startRequests(entry, 1, LONG);
		this.fleet.advance(Duration.ofMinutes(2));
		Truth.assertThat(startRequests(entry, 40, LONG)).isAtLeast(10);
	}

	@Test
	void ownerStopsAfterAnnouncementOfAGreaterEpoch() {
		this.fleet.leases().startOutage();
		this.fleet.setState(this.owner, Member.State.LEAVING);
		this.fleet.leases().endOutage();
		this.fleet.advance(Duration.ofSeconds(5));
		EndpointFleet.Daemon entry = this.entries.get(0);
		startRequests(entry, 3, LONG);
		Truth.assertThat(this.fleet.owner("e1")).isNotEqualTo(this.owner);
		Truth.assertThat(this.fleet.daemon(this.owner).owner.dump().toString()).contains("endpoints=0");
		Truth.assertThat(entry.pool.owner(EndpointFleet.id("e1"))).hasValue(new VmId(this.fleet.owner("e1")));
	}

	@Test
	void partitionedEntryShrinksToOneRequestThenUsesItsEqualSplit() {
		EndpointFleet.Daemon entry = this.entries.get(0);
		startRequests(entry, 12, Duration.ofMillis(1));
		this.fleet.network().partition(entry.incarnation.vm());
		List<Integer> shares = new ArrayList<>();
		for (int second = 0; second < 16; second++) {
			shares.add(entry.availableSlots("e1"));
			this.fleet.advance(Duration.ofSeconds(1));
		}
		Truth.assertThat(shares.get(0)).isAtLeast(4);
		Truth.assertThat(shares.subList(8, 11)).contains(1);
		Truth.assertThat(shares.get(15)).isEqualTo(16 / 5);
	}

	@Test
	void leavingReportReachesEveryEntryAtOnce() {
		this.entries.forEach((entry) -> startRequests(entry, 1, LONG));
		this.fleet.engines.engine("e1").leaving = true;
		this.fleet.advance(Duration.ofMillis(1_300));
		this.entries.forEach((entry) -> Truth.assertThat(entry.tryAcquire("e1", 10)).isFalse());
	}

	@Test
	void leavingFlagInOneDaemonsConfigurationReachesTheOthers() {
		this.entries.forEach((entry) -> startRequests(entry, 1, LONG));
		this.fleet.configureLeaving(this.entries.get(0).incarnation.vm().value(), Set.of("e1"));
		this.fleet.advance(Duration.ofMillis(300));
		this.entries.forEach((entry) -> Truth.assertThat(entry.tryAcquire("e1", 10)).isFalse());
	}

	@Test
	void leavingFlagIsResentWhenItsFirstPushIsLost() {
		// Guards against sending the leaving flag only once: the push is lost with its
		// connection, a new connection is up 400 ms later, and requests still start on
		// the leaving endpoint after three seconds.
		this.entries.forEach((entry) -> startRequests(entry, 1, LONG));
		EndpointFleet.Daemon entry = this.entries.get(0);
		this.fleet.network().partition(entry.incarnation.vm());
		this.fleet.configureLeaving(this.owner, Set.of("e1"));
		this.fleet.advance(Duration.ofMillis(400));
		this.fleet.network().heal(entry.incarnation.vm());
		this.fleet.advance(Duration.ofMillis(500));
		Truth.assertThat(entry.tryAcquire("e1", 10)).isFalse();
	}

	@Test
	void idleEntrySendsNoRequestToAnEndpointThatStartedLeaving() {
		// Guards against idle entries missing that an endpoint is leaving: the
		// endpoint announces it while the entry is idle, and the entry's next request
		// uses the share that needs no grant, long after the announcement.
		EndpointFleet.Daemon idle = this.entries.get(0);
		startRequests(this.entries.get(1), 1, LONG);
		this.fleet.advance(Duration.ofSeconds(30));
		this.fleet.engines.engine("e1").leaving = true;
		this.fleet.advance(Duration.ofSeconds(4));
		Truth.assertThat(idle.tryAcquire("e1", 10)).isFalse();
	}

	@Test
	void requestsOfACrashedEntryCountUntilTheyEnd() {
		// Guards against an account that drops the use of a crashed entry: the entry's
		// requests keep running at the endpoint while its share is granted to others,
		// so that the endpoint queues requests beyond its capacity.
		EndpointFleet.Daemon entry = this.entries.get(0);
		int running = startRequests(entry, 20, Duration.ofSeconds(20));
		Truth.assertThat(running).isAtLeast(10);
		this.fleet.kill(entry.incarnation.vm().value());
		this.fleet.advance(Duration.ofMillis(2_300));
		startRequests(this.entries.get(1), 60, LONG);
		Truth.assertThat(inFlight()).isAtMost(16 + 1);
		this.fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(startRequests(this.entries.get(1), 60, LONG)).isAtLeast(8);
	}

	@Test
	void partitionedOwnerLeavesUnreachableEntriesTheirShare() {
		// Guards against an owner that takes unreachable entries for idle: the
		// partitioned owner serves its own callers, and after ten seconds the other
		// entries use their equal split, so that the endpoint gets nearly twice its
		// capacity.
		this.fleet.network().partition(new VmId(this.owner));
		this.fleet.advance(Duration.ofSeconds(12));
		startRequests(this.fleet.daemon(this.owner), 40, LONG);
		this.entries.forEach((entry) -> startRequests(entry, 10, LONG));
		Truth.assertThat(inFlight()).isAtLeast(12);
		Truth.assertThat(inFlight()).isAtMost(16 + 1);
	}

	@Test
	void idleEntryStartsARequestWithoutWaiting() {
		this.fleet.advance(Duration.ofSeconds(60));
		Truth.assertThat(this.entries.get(0).tryAcquire("e1", 10)).isTrue();
	}

	@Test
	void unusedCapacityMovesWithoutWaitingForADemandPeriod() {
		EndpointFleet.Daemon holder = this.entries.get(0);
		EndpointFleet.Daemon requester = this.entries.get(1);
		for (int i = 0; i < 13; i++) {
			holder.tryRun("e1", 10, Duration.ofMillis(400));
			this.fleet.advance(Duration.ofMillis(21));
		}
		this.fleet.advance(Duration.ofMillis(600));
		Truth.assertThat(holder.availableSlots("e1")).isAtLeast(10);
		Truth.assertThat(startRequests(requester, 12, LONG)).isAtLeast(6);
	}

	@Test
	void partitionedOwnerStopsAfterThePartitionHeals() {
		this.fleet.network().partition(new VmId(this.owner));
		this.fleet.leases().expire(new VmId(this.owner));
		this.fleet.setState(this.owner, Member.State.DEAD);
		this.fleet.advance(Duration.ofSeconds(5));
		EndpointFleet.Daemon former = this.fleet.daemon(this.owner);
		Truth.assertThat(former.owner.dump().toString()).contains("endpoints=1");
		this.fleet.network().heal(new VmId(this.owner));
		this.fleet.advance(Duration.ofSeconds(31));
		Truth.assertThat(former.owner.dump().toString()).contains("endpoints=0");
	}

	@Test
	void ownerWithoutItsLeaseReleasesNoHoldThatAnotherOwnerRenews() {
		// Guards against a running request losing its memory: the owner is
		// partitioned, its lease passes on and renewals go to the new owner, so the
		// former owner sees none and releases the hold. A release is an order and
		// needs the lease.
		EndpointFleet.Daemon entry = this.entries.get(0);
		hold(entry, 800_000);
		this.fleet.network().partition(new VmId(this.owner));
		this.fleet.leases().expire(new VmId(this.owner));
		this.fleet.setState(this.owner, Member.State.DEAD);
		for (int second = 0; second < 60; second++) {
			this.fleet.advance(Duration.ofSeconds(1));
			Truth.assertThat(this.fleet.engines.engine("e1").heldKv()).isEqualTo(800_000);
		}
	}

	@Test
	void engineRestartRemovesItsHoldsFromTheAccount() {
		EndpointFleet.Daemon entry = this.entries.get(0);
		hold(entry, 800_000);
		this.fleet.engines.engine("e1").restart();
		this.fleet.advance(Duration.ofMillis(1_300));
		String dump = this.fleet.daemon(this.owner).owner.dump().toString();
		Truth.assertThat(dump).contains("held=Amount[slots=0, kvTokens=0]");
	}

	@Test
	void competingLargeRequestsAllGetTheirMemory() {
		// Guards against dividing memory fairly below the size of any request: four
		// entries each want 500k tokens of an engine with a million; each is granted a
		// quarter, which fits no request, and none ever starts.
		List<String> done = new ArrayList<>();
		for (EndpointFleet.Daemon entry : this.entries) {
			tryLarge(entry, done);
		}
		this.fleet.advance(Duration.ofSeconds(30));
		Truth.assertThat(Set.copyOf(done)).hasSize(this.entries.size());
	}

	@Test
	void restartedEngineIsGrantedByItsNewCapacity() {
		EndpointFleet.Daemon entry = this.entries.get(0);
		startRequests(entry, 8, LONG);
		this.fleet.engines.engine("e1").restart();
		this.fleet.engines.engine("e1").slots = 4;
		this.fleet.advance(Duration.ofSeconds(3));
		EndpointFleet.Daemon other = this.entries.get(1);
		Truth.assertThat(startRequests(other, 10, LONG)).isAtMost(4);
	}

	@Test
	void reservationSurvivesOwnerCrash() {
		hold(this.entries.get(0), 800_000);
		this.fleet.leases().startOutage();
		this.fleet.kill(this.owner);
		this.fleet.advance(Duration.ofMinutes(2));
		Truth.assertThat(this.fleet.engines.engine("e1").heldKv()).isEqualTo(800_000);
		this.fleet.leases().endOutage();
		this.fleet.advance(Duration.ofMinutes(1));
		Truth.assertThat(this.fleet.engines.engine("e1").heldKv()).isEqualTo(800_000);
	}

	private void tryLarge(EndpointFleet.Daemon entry, List<String> done) {
		entry.pool.requestCapacity(EndpointFleet.SERVICE, EndpointFleet.MODEL, 500_000);
		if (entry.tryRun("e1", 500_000, Duration.ofSeconds(2))) {
			done.add(entry.incarnation.vm().value());
		}
		this.fleet.scheduler.schedule(Duration.ofMillis(200), () -> tryLarge(entry, done));
	}

	private void hold(EndpointFleet.Daemon entry, long kvTokens) {
		entry.availableSlots("e1");
		this.fleet.advance(Duration.ofSeconds(1));
		entry.reservations.reserve(new RequestId(entry.incarnation, "r"), EndpointFleet.SERVICE, EndpointFleet.MODEL,
				kvTokens, LONG, (group) -> {
				}, (failure) -> {
				});
		this.fleet.advance(Duration.ofSeconds(1));
	}

	private int startRequests(EndpointFleet.Daemon entry, int attempts, Duration duration) {
		int started = 0;
		for (int i = 0; i < attempts; i++) {
			started += entry.tryRun("e1", 10, duration) ? 1 : 0;
			this.fleet.advance(Duration.ofMillis(20));
		}
		return started;
	}

	private int inFlight() {
		return this.fleet.engines.engine("e1").running;
	}

}
