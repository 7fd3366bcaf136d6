package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/**
 * Measures the network traffic of membership at the target size: 25 data centres of 68
 * daemons. The budget of a daemon for all control traffic is 4 KB a second.
 */
class MembershipTrafficTests {

	private static final int DATA_CENTRES = 25;

	private static final int PER_DATA_CENTRE = 68;

	private static final int RELAYS = 2;

	private static final int LENGTH_FIELD = 4;

	private static final Duration SPAN = Duration.ofSeconds(60);

	private final MessageCodec codec = new MessageCodec(MembershipMessages.register(MessageCatalog.builder()).build());

	@Test
	void messagesStayWithinTheirSizeLimits() {
		PeerIdentity identity = new PeerIdentity(new Incarnation(new VmId("entry-0001"), 1_790_000_000_000L),
				new DataCentre("shah-alam"), "10.112.134.156:7400", "10.112.134.156:7480");
		MemberEntry entry = new MemberEntry(identity, 3, Health.SUSPECT, true);
		Truth.assertThat(size(new Heartbeat(3, false, Long.MIN_VALUE, 0))).isAtMost(20);
		Truth.assertThat(size(new Entries(List.of(entry), List.of()))).isAtMost(100);
		Truth.assertThat(size(new Summaries(identity.dataCentre(), List.of(MemberSummary.of(entry))))).isAtMost(50);
	}

	/**
	 * Simulates one data centre in full and the relays of all others, while daemons are
	 * restarted at the rate of the whole fleet: 4,000 a day, here 3 in a minute.
	 */
	@Test
	void trafficStaysWithinASmallShareOfTheBudget() {
		Fleet fleet = new Fleet();
		for (int i = 0; i < PER_DATA_CENTRE; i++) {
			fleet.list("home-" + i, false);
		}
		for (int i = 0; i < (DATA_CENTRES - 1) * RELAYS; i++) {
			fleet.list("far." + i / RELAYS + "-" + i % RELAYS, false);
		}
		List.copyOf(fleet.list.keySet()).forEach(fleet::start);
		fleet.advance(Duration.ofSeconds(60));
		Truth.assertThat(fleet.allStates()).containsExactly(Member.State.ALIVE);
		List<String> home = fleet.daemons.keySet().stream().filter((vm) -> vm.startsWith("home")).toList();
		List<Long> before = sent(fleet, home);
		for (int i = 0; i < 3; i++) {
			String vm = home.get(10 + i);
			fleet.daemon(vm).membership.leave();
			fleet.advance(SPAN.dividedBy(6));
			fleet.kill(vm);
			fleet.start(vm);
			fleet.advance(SPAN.dividedBy(6));
		}
		List<Long> after = sent(fleet, home);
		List<Long> perSecond = new ArrayList<>();
		for (int i = 0; i < home.size(); i++) {
			perSecond.add((after.get(i) - before.get(i)) / SPAN.toSeconds());
		}
		perSecond.sort(null);
		Truth.assertThat(perSecond.get(PER_DATA_CENTRE / 2)).isLessThan(150L);
		Truth.assertThat(perSecond.get(PER_DATA_CENTRE - 1)).isLessThan(1_200L);
	}

	private int size(PeerMessage message) {
		return LENGTH_FIELD + this.codec.encode(message).length;
	}

	private static List<Long> sent(Fleet fleet, List<String> vms) {
		return vms.stream().map((vm) -> fleet.hub.bytesSent(new VmId(vm))).toList();
	}

}
