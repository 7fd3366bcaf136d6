package org.bramleyscale.internal.peer;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerConnectionsTests {

	private static final Duration TICK = Duration.ofMillis(250);

	private static final VmId A = new VmId("a");

	private static final VmId B = new VmId("b");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final FakeLinks links = new FakeLinks(this.scheduler);

	private final Directory directoryOfA = new Directory(B);

	private final Directory directoryOfB = new Directory(A);

	private FakeLinks.Node a;

	private FakeLinks.Node b;

	@BeforeEach
	void start() {
		this.a = start("a", 1, this.directoryOfA);
		this.b = start("b", 1, this.directoryOfB);
	}

	@Test
	void smallerNameDials() {
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.a.dials).containsExactly("b");
		Truth.assertThat(this.b.dials).isEmpty();
		Truth.assertThat(this.b.connections.connected()).containsExactly(A);
	}

	@Test
	void greaterNameDialsIfTheSmallerDoesNot() {
		this.directoryOfA.desired.clear();
		advance(Duration.ofMillis(2_900));
		Truth.assertThat(this.b.dials).isEmpty();
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.dials).containsExactly("a");
		Truth.assertThat(this.a.connections.connected()).containsExactly(B);
	}

	@Test
	void failedDialsBackOffUpToTheMaximum() {
		this.a.unreachable.add("b");
		this.directoryOfB.desired.clear();
		advance(Duration.ofSeconds(10));
		int first = this.a.dials.size();
		Truth.assertThat(first).isIn(Range.closed(5, 9));
		advance(Duration.ofMinutes(5));
		Truth.assertThat(this.a.dials.size() - first).isIn(Range.closed(29, 62));
	}

	/**
	 * Guards against a connection that stops delivering without an error, in one or both
	 * directions, because something on the network path no longer tracks it; new
	 * connections work. The side that receives nothing must open a second connection, and
	 * both sides must end up using it.
	 */
	@ParameterizedTest
	@CsvSource({ "true, false", "false, true", "true, true" })
	void silentConnectionIsReplaced(boolean fromA, boolean fromB) {
		advance(Duration.ofSeconds(2));
		if (fromA) {
			this.links.dropSends("a", "b");
		}
		if (fromB) {
			this.links.dropSends("b", "a");
		}
		advance(Duration.ofSeconds(5));
		this.a.connections.send(B, new byte[] { 1 });
		this.b.connections.send(A, new byte[] { 2 });
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.received).hasSize(1);
		Truth.assertThat(this.a.received).hasSize(1);
		Truth.assertThat(this.a.count("peer.connections.silent") + this.b.count("peer.connections.silent"))
			.isAtLeast(1);
		advance(Duration.ofSeconds(40));
		Truth.assertThat(this.a.openLinks()).hasSize(1);
		Truth.assertThat(this.b.openLinks()).hasSize(1);
	}

	/**
	 * Guards against a daemon that closes its only connection to a peer and can't open a
	 * new one: the connection becomes silent, and dials fail for a while. The silent
	 * connection must stay open until its replacement has completed the handshake.
	 */
	@Test
	void silentConnectionStaysOpenUntilItsReplacementIsOpen() {
		advance(Duration.ofSeconds(2));
		this.links.dropSends("b", "a");
		this.a.unreachable.add("b");
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.a.dials).contains("b replacing");
		Truth.assertThat(this.a.openLinks()).hasSize(1);
		Truth.assertThat(this.a.connections.connected()).isEmpty();
		this.a.unreachable.clear();
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.a.connections.connected()).containsExactly(B);
		Truth.assertThat(this.a.openLinks()).hasSize(1);
	}

	/**
	 * Guards against two daemons that connect and disconnect endlessly: both dial at the
	 * same time, each sees the two connections open in a different order, and each closes
	 * the connection that the other keeps.
	 */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void bothSidesKeepTheSameOfTwoSimultaneousConnections(boolean firstByA) {
		FakeLinks.Node first = firstByA ? this.a : this.b;
		FakeLinks.Node second = firstByA ? this.b : this.a;
		first.connect(second, false);
		second.connect(first, false);
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.a.openLinks()).hasSize(1);
		Truth.assertThat(this.a.openLinks().get(0).dialled()).isTrue();
		Truth.assertThat(this.b.openLinks()).hasSize(1);
		Truth.assertThat(this.b.openLinks().get(0).dialled()).isFalse();
		Truth.assertThat(this.a.dials).isEmpty();
		Truth.assertThat(this.b.dials).isEmpty();
	}

	/**
	 * Guards against a message of an earlier incarnation that takes effect after messages
	 * of the current one: the daemon restarts and completes its handshake while bytes of
	 * the earlier incarnation are still in flight, and the receiver compares only the
	 * VM's name.
	 */
	@Test
	void framesOfAnEarlierIncarnationAreDropped() {
		advance(Duration.ofSeconds(1));
		FakeLinks.FakeLink earlier = this.b.openLinks().get(0);
		FakeLinks.Node restarted = start("a", 2, this.directoryOfA);
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.connections.received(earlier, true)).isFalse();
		Truth.assertThat(this.b.count("peer.frames.stale-incarnation")).isEqualTo(1);
		this.b.connections.send(A, new byte[] { 1 });
		advance(Duration.ofSeconds(1));
		Truth.assertThat(restarted.received).hasSize(1);
	}

	@Test
	void handshakeOfAnEarlierIncarnationIsRejected() {
		FakeLinks.Node restarted = start("a", 2, this.directoryOfA);
		advance(Duration.ofSeconds(1));
		this.directoryOfA.desired.clear();
		this.a.connect(this.b, false);
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.a.openLinks()).isEmpty();
		Truth.assertThat(restarted.openLinks()).hasSize(1);
	}

	@Test
	void messagesToAnUnconnectedVmArePendingUntilItsConnectionIsOpen() {
		this.directoryOfA.desired.clear();
		this.directoryOfB.desired.clear();
		Truth.assertThat(this.a.connections.send(B, new byte[] { 1 })).isTrue();
		Truth.assertThat(this.a.connections.send(B, new byte[] { 2 })).isTrue();
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.received.stream().map((payload) -> payload[0]).toList())
			.containsExactly((byte) 1, (byte) 2)
			.inOrder();
		advance(Duration.ofSeconds(58));
		Truth.assertThat(this.a.openLinks()).hasSize(1);
		advance(Duration.ofSeconds(3));
		Truth.assertThat(this.a.openLinks()).isEmpty();
		Truth.assertThat(this.b.openLinks()).isEmpty();
	}

	@Test
	void pendingBytesAreBounded() {
		Truth.assertThat(this.a.connections.send(B, new byte[60])).isTrue();
		Truth.assertThat(this.a.connections.send(B, new byte[60])).isFalse();
		Truth.assertThat(this.a.count("peer.sends.refused")).isEqualTo(1);
	}

	@Test
	void failedDialDropsPendingMessagesAndRefusesSendsUntilTheNextDial() {
		this.a.unreachable.add("b");
		this.a.connections.send(B, new byte[1]);
		this.scheduler.advance(Duration.ofMillis(50));
		Truth.assertThat(this.a.count("peer.sends.lost-before-connection")).isEqualTo(1);
		Truth.assertThat(this.a.connections.send(B, new byte[1])).isFalse();
		this.scheduler.advance(Duration.ofMillis(200));
		Truth.assertThat(this.a.connections.send(B, new byte[1])).isTrue();
	}

	@Test
	void sendsToAnUnknownAddressOrToSelfAreRefused() {
		Truth.assertThat(this.a.connections.send(new VmId("c"), new byte[1])).isFalse();
		Truth.assertThat(this.a.connections.send(A, new byte[1])).isFalse();
	}

	@Test
	void heartbeatsAreSentOnlyOnIdleConnections() {
		advance(Duration.ofSeconds(1));
		int before = this.b.heartbeats;
		for (int i = 0; i < 20; i++) {
			this.a.connections.send(B, new byte[] { 1 });
			advance(Duration.ofMillis(500));
		}
		Truth.assertThat(this.b.heartbeats - before).isEqualTo(0);
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.b.heartbeats - before).isIn(Range.closed(7, 10));
	}

	/**
	 * Guards against a daemon that replaces all its connections after a pause of its own
	 * process: it is suspended for ten seconds and then runs its timers before it reads
	 * its sockets, so that all peers appear silent.
	 */
	@Test
	void pauseOfOwnProcessIsNotTreatedAsSilence() {
		advance(Duration.ofSeconds(2));
		this.scheduler.advance(Duration.ofSeconds(10));
		this.a.connections.tick();
		Truth.assertThat(this.a.dials).containsExactly("b");
		Truth.assertThat(this.a.connections.connected()).containsExactly(B);
	}

	private FakeLinks.Node start(String vm, long start, Directory directory) {
		return this.links.start(vm, start, directory);
	}

	private void advance(Duration duration) {
		long end = this.scheduler.nanos() + duration.toNanos();
		while (this.scheduler.nanos() < end) {
			this.links.tickAll();
			long remaining = end - this.scheduler.nanos();
			this.scheduler.advance(Duration.ofNanos(Math.min(TICK.toNanos(), remaining)));
		}
	}

	private static final class Directory implements PeerDirectory {

		private final Set<VmId> desired = new HashSet<>();

		private Directory(VmId desired) {
			this.desired.add(desired);
		}

		@Override
		public Set<VmId> desiredPeers() {
			return this.desired;
		}

		@Override
		public Optional<String> address(VmId vm) {
			return List.of(A, B).contains(vm) ? Optional.of("10.0.0.1:1") : Optional.empty();
		}

	}

}
