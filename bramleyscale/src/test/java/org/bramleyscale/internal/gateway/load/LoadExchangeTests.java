package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link LoadExchange} in a small fleet and in one of three data centres with
 * two relays each.
 */
class LoadExchangeTests {

	private static final EndpointStart ENGINE = EndpointStart.withUnknownStart("e1");

	private static final ServiceName SERVICE = new ServiceName("quotes");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Map<VmId, Daemon> fleet = new TreeMap<>((left, right) -> left.value().compareTo(right.value()));

	private boolean flat;

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void everyDaemonCountsTheWorkOfAllOthersOnce(boolean flat) {
		start(flat, 4);
		this.fleet.values().forEach((daemon) -> daemon.loads.begin(ENGINE, 0, 100, true, 250));
		this.fleet.values().forEach((daemon) -> daemon.loads.begin(ENGINE, 0, 0, false, EndpointLoad.ANY_PAUSE));
		this.fleet.values().forEach((daemon) -> daemon.demands.shortBegan(SERVICE));
		this.scheduler.advance(Duration.ofMillis(900));
		for (Daemon daemon : this.fleet.values()) {
			Truth.assertWithMessage(daemon.vm.value())
				.that(daemon.loads.load(ENGINE))
				.isEqualTo(new EndpointLoad(12, 0, 1_200, 12, 250));
			Truth.assertThat(daemon.demands.shortActive(SERVICE)).isEqualTo(12);
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void theWorkOfACrashedDaemonExpires(boolean flat) {
		// Guards against engines that look busy for ever: a daemon with work is killed,
		// and relays must not keep its last update in their sums.
		start(flat, 4);
		Daemon crashed = this.fleet.get(new VmId("dc1-3"));
		crashed.loads.begin(ENGINE, 0, 100, true, 250);
		this.scheduler.advance(Duration.ofMillis(900));
		crashed.alive = false;
		this.scheduler.advance(Duration.ofMillis(2_600));
		this.fleet.values()
			.stream()
			.filter((daemon) -> daemon.alive)
			.forEach((daemon) -> Truth.assertThat(daemon.loads.load(ENGINE)).isEqualTo(EndpointLoad.IDLE));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aDaemonsOwnWorkIsNotCountedTwice(boolean flat) {
		// Guards against a daemon that avoids engines which only it uses: it sends a long
		// prompt and an update between two sums of the relays, and a sum contains its
		// load as of an earlier update.
		start(flat, 4);
		Daemon sender = this.fleet.get(new VmId("dc1-3"));
		for (int i = 0; i < 30; i++) {
			sender.loads.begin(ENGINE, 0, 100, true, 250);
			sender.exchange.sendUpdate();
			this.scheduler.advance(Duration.ofMillis(37));
			Truth.assertThat(sender.loads.load(ENGINE).active()).isEqualTo(i + 1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "true, 25", "false, 430" })
	void changesOfWorkReachAllDaemonsWithinABound(boolean flat, int millis) {
		// Guards against many of 95 daemons choosing the same engine at the same time,
		// since updates and sums that wait for the next interval take 0.25 s in all.
		start(flat, 4);
		this.scheduler.advance(Duration.ofMillis(777));
		LoadTracker.Work work = this.fleet.get(new VmId("dc1-3")).loads.begin(ENGINE, 120, 100, true, 250);
		this.scheduler.advance(Duration.ofMillis(millis));
		others("dc1-3").forEach((daemon) -> Truth.assertThat(daemon.loads.load(ENGINE).active()).isEqualTo(1));
		work.prefillDone();
		this.scheduler.advance(Duration.ofMillis(millis));
		others("dc1-3").forEach((daemon) -> Truth.assertThat(daemon.loads.load(ENGINE).prefillMillis()).isEqualTo(0));
		work.end();
		this.scheduler.advance(Duration.ofMillis(millis));
		others("dc1-3").forEach((daemon) -> Truth.assertThat(daemon.loads.load(ENGINE)).isEqualTo(EndpointLoad.IDLE));
	}

	@Test
	void relaysReceiveEachOthersWorkDirectly() {
		// Guards against relays choosing the same engine at the same time: callers are
		// sent to relays, and if relays exchange only sums, the others learn of a request
		// 200 ms later.
		start(false, 4);
		this.scheduler.advance(Duration.ofMillis(777));
		LoadTracker.Work work = this.fleet.get(new VmId("dc1-1")).loads.begin(ENGINE, 120, 100, true, 250);
		this.scheduler.advance(Duration.ofMillis(25));
		relays().forEach((daemon) -> Truth.assertThat(daemon.loads.load(ENGINE).active()).isEqualTo(1));
		work.end();
		this.scheduler.advance(Duration.ofMillis(25));
		relays().forEach((daemon) -> Truth.assertThat(daemon.loads.load(ENGINE)).isEqualTo(EndpointLoad.IDLE));
	}

	@ParameterizedTest
	@CsvSource({ "true, dc2-1", "false, dc2-1", "false, dc3-1" })
	void anUnresponsiveRelayIsDetectedByAllDaemons(boolean flat, String observer) {
		// Guards against naming an unresponsive daemon to callers: a relay freezes while
		// its connections stay open, and daemons that don't get its updates would learn
		// of it only from membership, seconds later.
		start(flat, 4);
		this.scheduler.advance(Duration.ofMillis(900));
		VmId frozen = new VmId("dc1-1");
		LoadExchange observerExchange = this.fleet.get(new VmId(observer)).exchange;
		Truth.assertThat(observerExchange.isUnresponsive(frozen)).isFalse();
		this.fleet.get(frozen).alive = false;
		this.scheduler.advance(Duration.ofMillis(1_300));
		Truth.assertThat(observerExchange.isUnresponsive(frozen)).isTrue();
		this.fleet.get(frozen).alive = true;
		this.scheduler.advance(Duration.ofMillis(600));
		Truth.assertThat(observerExchange.isUnresponsive(frozen)).isFalse();
	}

	private List<Daemon> relays() {
		return this.fleet.values().stream().filter((daemon) -> daemon.relay).toList();
	}

	@Test
	void changesInALostMessageAreSentAgain() {
		// Guards against a daemon that considers an engine idle or busy for ever: the
		// message with a change is lost with its connection, and the next one contains
		// only later changes.
		start(false, 4);
		Daemon daemon = this.fleet.get(new VmId("dc1-3"));
		daemon.loads.begin(ENGINE, 0, 100, true, 250);
		this.scheduler.advance(Duration.ofMillis(600));
		this.fleet.values().forEach((other) -> other.alive = false);
		daemon.loads.begin(ENGINE, 0, 100, true, 250);
		this.scheduler.advance(Duration.ofMillis(200));
		this.fleet.values().forEach((other) -> other.alive = true);
		this.scheduler.advance(Duration.ofMillis(800));
		others("dc1-3").forEach((other) -> Truth.assertThat(other.loads.load(ENGINE).active()).isEqualTo(2));
	}

	private List<Daemon> others(String vm) {
		return this.fleet.values().stream().filter((daemon) -> !daemon.vm.value().equals(vm)).toList();
	}

	@ParameterizedTest
	@CsvSource({ "4, 45", "20, 45" })
	void messagesOfADaemonThatIsNoRelayDoNotGrowWithTheFleet(int daemonsPerDataCentre, int maxMessages) {
		start(false, daemonsPerDataCentre);
		Daemon member = this.fleet.get(new VmId("dc2-3"));
		member.loads.begin(ENGINE, 0, 100, true, 250);
		this.scheduler.advance(Duration.ofSeconds(2));
		Truth.assertThat(member.sent).isAtMost(maxMessages);
	}

	private void start(boolean small, int daemonsPerDataCentre) {
		this.flat = small;
		for (int dataCentre = 1; dataCentre <= 3; dataCentre++) {
			for (int i = 1; i <= daemonsPerDataCentre; i++) {
				Daemon daemon = new Daemon(new VmId("dc" + dataCentre + "-" + i), "dc" + dataCentre, i <= 2);
				this.fleet.put(daemon.vm, daemon);
			}
		}
		this.fleet.values().forEach((daemon) -> daemon.exchange.start());
	}

	/**
	 * A daemon with its load and demand trackers, connected to the others in memory.
	 */
	private final class Daemon implements PeerNetwork, LoadTopology {

		private final VmId vm;

		private final String dataCentre;

		private final boolean relay;

		private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

		private final LoadTracker loads = new LoadTracker(LoadExchangeTests.this.scheduler);

		private final DemandTracker demands = new DemandTracker(LoadExchangeTests.this.scheduler);

		private final LoadExchange exchange;

		private boolean alive = true;

		private int sent;

		private Daemon(VmId vm, String dataCentre, boolean relay) {
			this.vm = vm;
			this.dataCentre = dataCentre;
			this.relay = relay;
			this.exchange = new LoadExchange(LoadExchangeTests.this.scheduler, this, vm, this, this.loads,
					this.demands);
		}

		@Override
		@SuppressWarnings("unchecked")
		public boolean send(VmId to, PeerMessage message) {
			this.sent++;
			Daemon other = LoadExchangeTests.this.fleet.get(to);
			if (this.alive && other.alive) {
				PeerListener<PeerMessage> listener = (PeerListener<PeerMessage>) other.listeners
					.get(message.getClass());
				LoadExchangeTests.this.scheduler.execute(() -> listener.received(new Incarnation(this.vm, 1), message));
			}
			return true;
		}

		@Override
		public Set<VmId> connected() {
			Set<VmId> all = new HashSet<>(LoadExchangeTests.this.fleet.keySet());
			all.remove(this.vm);
			return all;
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.put(type, listener);
		}

		@Override
		public boolean flat() {
			return LoadExchangeTests.this.flat;
		}

		@Override
		public boolean isRelay() {
			return this.relay;
		}

		@Override
		public Collection<VmId> relays() {
			return others(true, true);
		}

		@Override
		public Collection<VmId> members() {
			return others(true, false);
		}

		@Override
		public Collection<VmId> remoteRelays() {
			return others(false, true);
		}

		@Override
		public String dataCentre(VmId other) {
			return LoadExchangeTests.this.fleet.get(other).dataCentre;
		}

		private Collection<VmId> others(boolean own, boolean relaysOnly) {
			List<VmId> result = new ArrayList<>();
			for (Daemon daemon : LoadExchangeTests.this.fleet.values()) {
				boolean here = daemon.dataCentre.equals(this.dataCentre);
				if (daemon != this && here == own && (daemon.relay || !relaysOnly)) {
					result.add(daemon.vm);
				}
			}
			return result;
		}

	}

}
