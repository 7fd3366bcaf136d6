package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link FleetReachability} on three daemons.
 */
class FleetReachabilityTests {

	private static final Duration LATENCY = Duration.ofMillis(2);

	private static final List<VmId> ALL = Stream.of("a", "b", "c").map(VmId::new).toList();

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Map<VmId, Daemon> daemons = new HashMap<>();

	private boolean messagesLost;

	FleetReachabilityTests() {
		ALL.forEach((vm) -> this.daemons.put(vm, new Daemon(vm, 1)));
	}

	/**
	 * Guards against naming daemons that are cut off, and against naming none because a
	 * service is down.
	 */
	@ParameterizedTest
	@CsvSource({ "'', '', '', ''", "x, '', '', a", "x, x, '', a b", "x, x, x, ''", "x, y, '', a b", "x, y, y x, ''",
			"x y, x, x, a", "x, '', y, a c" })
	void daemonsThatReachLessThanOthersAreCutOff(String atA, String atB, String atC, String cutOff) {
		announce("a", atA);
		announce("b", atB);
		announce("c", atC);
		this.scheduler.advance(LATENCY);
		for (Daemon daemon : this.daemons.values()) {
			Truth.assertThat(names(daemon.reachability.cutOff(ALL))).isEqualTo(cutOff);
		}
	}

	/** Guards against a daemon that stays unused since its last announcement was lost. */
	@ParameterizedTest
	@CsvSource({ "false, 0", "true, 20000" })
	void recoveryIsToldAtOnceAndFollowsFromSilence(boolean lost, long millis) {
		announce("a", "x");
		this.scheduler.advance(LATENCY);
		this.messagesLost = lost;
		announce("a", "");
		this.scheduler.advance(Duration.ofMillis(millis).plus(LATENCY));
		Truth.assertThat(names(reachability("b").cutOff(ALL))).isEmpty();
	}

	/** Guards against a daemon that counts as reachable again while it is cut off. */
	@Test
	void lossIsRenewed() {
		announce("a", "x");
		this.scheduler.advance(FleetReachability.EXPIRY.multipliedBy(2));
		Truth.assertThat(names(reachability("b").cutOff(ALL))).isEqualTo("a");
	}

	/** Guards against what an earlier start announced. */
	@Test
	void restartedDaemonReplacesItsEarlierAnnouncements() {
		announce("a", "x");
		announce("a", "x y");
		this.scheduler.advance(LATENCY);
		this.daemons.put(ALL.get(0), new Daemon(ALL.get(0), 2));
		announce("a", "z");
		announce("a", "");
		this.scheduler.advance(LATENCY);
		Truth.assertThat(names(reachability("b").cutOff(ALL))).isEmpty();
	}

	/** Guards against a daemon that starts during a cut and names those cut off. */
	@Test
	void daemonThatStartsLearnsWhoIsCutOff() {
		announce("a", "x");
		this.scheduler.advance(Duration.ofSeconds(1));
		this.daemons.put(ALL.get(1), new Daemon(ALL.get(1), 2));
		this.scheduler.advance(Duration.ofMillis(500));
		Truth.assertThat(names(reachability("b").cutOff(ALL))).isEqualTo("a");
	}

	/** Guards against a daemon that stays unused since its earlier start was cut off. */
	@Test
	void startThatReachesAllReplacesOneThatDidNot() {
		announce("a", "x");
		this.scheduler.advance(LATENCY);
		this.daemons.put(ALL.get(0), new Daemon(ALL.get(0), 2));
		this.scheduler.advance(Duration.ofMillis(500));
		Truth.assertThat(names(reachability("b").cutOff(ALL))).isEmpty();
	}

	/** Guards against checks of paths that a peer had lost before. */
	@Test
	void peersVerifyOnlyNewLosses() {
		announce("a", "x");
		announce("a", "x y");
		this.scheduler.advance(FleetReachability.RENEWAL.multipliedBy(2));
		Truth.assertThat(this.daemons.get(ALL.get(1)).verified)
			.containsExactly(new ServiceName("x"), new ServiceName("y"))
			.inOrder();
	}

	/** Guards against messages of a fleet in which nothing is lost but its starts. */
	@Test
	void onlyStartsAreToldWhileAllServicesAreReached() {
		reachability("a").announce(Set.of());
		this.scheduler.advance(Duration.ofMinutes(1));
		int peers = ALL.size() - 1;
		Truth.assertThat(this.daemons.values().stream().mapToInt((daemon) -> daemon.sent).sum())
			.isEqualTo(ALL.size() * peers * (1 + FleetReachability.REPEATS.size()));
		Truth.assertThat(reachability("a").cutOff(ALL)).isEmpty();
	}

	private void announce(String daemon, String services) {
		reachability(daemon).announce(Stream.of(services.split(" "))
			.filter((service) -> !service.isEmpty())
			.map(ServiceName::new)
			.collect(Collectors.toSet()));
	}

	private FleetReachability reachability(String daemon) {
		return this.daemons.get(new VmId(daemon)).reachability;
	}

	private static String names(Collection<VmId> vms) {
		return String.join(" ", new TreeSet<>(vms.stream().map(VmId::value).toList()));
	}

	/**
	 * One start of a daemon in a full mesh.
	 */
	private final class Daemon implements PeerNetwork, UpdateRoutes {

		private final Incarnation self;

		private final List<ServiceName> verified = new ArrayList<>();

		private final FleetReachability reachability;

		private PeerListener<ReachabilityUpdate> listener;

		private int sent;

		private Daemon(VmId vm, long start) {
			this.self = new Incarnation(vm, start);
			this.reachability = new FleetReachability(FleetReachabilityTests.this.scheduler, this, this, this.self,
					this.verified::addAll, DecisionLog.NONE);
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			this.sent++;
			if (!FleetReachabilityTests.this.messagesLost && current()) {
				FleetReachabilityTests.this.scheduler.schedule(LATENCY,
						() -> FleetReachabilityTests.this.daemons.get(to).listener.received(this.self,
								(ReachabilityUpdate) message));
			}
			return true;
		}

		private boolean current() {
			return FleetReachabilityTests.this.daemons.get(this.self.vm()) == this;
		}

		@Override
		public Set<VmId> connected() {
			Set<VmId> others = new HashSet<>(ALL);
			others.remove(this.self.vm());
			return others;
		}

		@Override
		@SuppressWarnings("unchecked")
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> peerListener) {
			this.listener = (PeerListener<ReachabilityUpdate>) peerListener;
		}

		@Override
		public Collection<VmId> originRecipients() {
			return connected();
		}

		@Override
		public Collection<VmId> forwardRecipients(VmId from) {
			return List.of();
		}

	}

}
