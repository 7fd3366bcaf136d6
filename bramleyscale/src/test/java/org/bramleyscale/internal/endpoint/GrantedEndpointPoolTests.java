package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.pool.GrantedEndpointPool;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A pool whose owner is replaced by messages that the test sends.
 */
class GrantedEndpointPoolTests {

	private final EndpointFleet fleet = new EndpointFleet(EndpointSettings.builder().smallFleet(1).maxPairs(1).build(),
			2, "e1", "e2");

	private final ManualScheduler scheduler = this.fleet.scheduler;

	private final GrantedEndpointPool pool = this.fleet.daemon("vm-1").pool;

	private final List<Demand> demands = new ArrayList<>();

	private PeerNetwork owner;

	private int shard;

	@BeforeEach
	void replaceOwner() {
		this.fleet.daemons().forEach((daemon) -> daemon.owner.stop());
		this.fleet.daemon("vm-2").pool.stop();
		this.owner = this.fleet.network().join(new Incarnation(new VmId("vm-2"), 1));
		this.fleet.network().tap((message) -> {
			if (message instanceof Demand demand) {
				this.demands.add(demand);
			}
		});
		slots();
		this.fleet.advance(Duration.ofSeconds(4));
		EndpointEntry entry = this.fleet.entry("e1", false);
		EndpointFleet.Daemon daemon = this.fleet.daemon("vm-1");
		this.shard = new ShardMap(daemon.configuration.current().register(), daemon.membership.eligible()).shard(entry)
			.code();
	}

	@Test
	void grantExpiryIsMeasuredFromTheSendingOfTheDemand() {
		// Guards against exceeding the endpoint's capacity when a grant arrives late:
		// the owner's account ends the grant on time, while an entry that measures
		// expiry from the receipt keeps using it.
		long demandSent = millis();
		this.fleet.advance(Duration.ofMillis(1_900));
		grant(demandSent, 5, 1, 8);
		Truth.assertThat(slots()).isEqualTo(8);
		this.fleet.advance(Duration.ofMillis(100));
		Truth.assertThat(slots()).isLessThan(8);
	}

	@ParameterizedTest
	@CsvSource({ "5, 2, 6", "5, 1, 8", "4, 9, 8", "6, 1, 6" })
	void onlyLaterGrantsOfTheSameOrALaterEpochApply(long epoch, long number, int slots) {
		// Guards against the grants of two owners adding up: the grant of a paused
		// owner arrives after the new owner's and must not replace it.
		grant(millis(), 5, 1, 8);
		grant(millis(), epoch, number, 6);
		Truth.assertThat(slots()).isEqualTo(slots);
	}

	@Test
	void grantOfAnotherShardDoesNotApply() {
		send(millis(), new GrantItem(EndpointFleet.id("e1"), this.shard + 1, 9, 1, 8, 0, false, null, 0));
		Truth.assertThat(slots()).isAtMost(1);
	}

	@Test
	void modelsAreKeptWhenTheReportOmitsThem() {
		grantWith(1, List.of("m"));
		grantWith(2, null);
		Truth.assertThat(this.pool.candidates(EndpointFleet.SERVICE, EndpointFleet.MODEL)).hasSize(2);
		grantWith(3, List.of("other"));
		Truth.assertThat(this.pool.candidates(EndpointFleet.SERVICE, EndpointFleet.MODEL)).hasSize(1);
	}

	@Test
	void firstRequestWaitsBrieflyForTheOwnerAndThenStartsWithoutIt() {
		slots();
		grant(millis(), 5, 1, 4);
		this.fleet.advance(Duration.ofMinutes(3));
		List<Integer> observedSlots = new ArrayList<>();
		this.pool.onCapacityAvailable(() -> observedSlots.add(slots()));
		Truth.assertThat(slots()).isEqualTo(0);
		this.fleet.advance(Duration.ofMillis(60));
		Truth.assertThat(observedSlots).containsExactly(1);
	}

	@Test
	void refusedPermitsSendDemandsAtALimitedRate() {
		grant(millis(), 5, 1, 1);
		this.fleet.daemon("vm-1").tryAcquire("e1", 0);
		this.demands.clear();
		for (int i = 0; i < 200; i++) {
			this.fleet.daemon("vm-1").tryAcquire("e1", 0);
			this.fleet.advance(Duration.ofMillis(5));
		}
		Truth.assertThat(this.demands.size()).isAtLeast(4);
		Truth.assertThat(this.demands.size()).isAtMost(16);
	}

	@Test
	void closingAPermitTwiceReleasesItOnce() {
		grant(millis(), 5, 1, 2);
		Permit first = this.pool.acquire(EndpointFleet.id("e1"), 0, 5).orElseThrow();
		this.pool.acquire(EndpointFleet.id("e1"), 0, 5).orElseThrow();
		first.close();
		first.close();
		Truth.assertThat(slots()).isEqualTo(1);
	}

	private void grantWith(long number, List<String> models) {
		GrantedReport report = new GrantedReport(1, number, 0, 0, 8, 0, 0, 1_000, 0, models);
		send(millis(), new GrantItem(EndpointFleet.id("e1"), this.shard, 5, number, 4, 0, false, report, 0));
	}

	private void grant(long sentMillis, long epoch, long number, int slots) {
		send(sentMillis, new GrantItem(EndpointFleet.id("e1"), this.shard, epoch, number, slots, 0, false, null, 0));
	}

	private void send(long sentMillis, GrantItem item) {
		this.owner.send(new VmId("vm-1"), new Grant(sentMillis, 2_000, List.of(item)));
		this.fleet.advance(FakeNetwork.LATENCY);
	}

	private long millis() {
		return this.scheduler.nanos() / 1_000_000;
	}

	private int slots() {
		return this.fleet.daemon("vm-1").availableSlots("e1");
	}

}
