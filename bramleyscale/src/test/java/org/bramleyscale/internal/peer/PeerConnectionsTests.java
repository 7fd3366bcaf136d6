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

	private final FakeWire wire = new FakeWire(this.scheduler);

	private final Directory ofA = new Directory(B);

	private final Directory ofB = new Directory(A);

	private FakeWire.Node a;

	private FakeWire.Node b;

	@BeforeEach
	void start() {
		this.a = start("a", 1, this.ofA);
		this.b = start("b", 1, this.ofB);
	}

	@Test
	void theSmallerNameDials() {
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.a.dials).containsExactly("b");
		Truth.assertThat(this.b.dials).isEmpty();
		Truth.assertThat(this.b.connections.connected()).containsExactly(A);
	}

	@Test
	void theGreaterNameDialsIfTheOtherDoesNot() {
		this.ofA.desired.clear();
		advance(Duration.ofMillis(2_900));
		Truth.assertThat(this.b.dials).isEmpty();
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.dials).containsExactly("a");
		Truth.assertThat(this.a.connections.connected()).containsExactly(B);
	}

	@Test
	void failedDialsBackOffUpToALimit() {
		this.a.unreachable.add("b");
		this.ofB.desired.clear();
		advance(Duration.ofSeconds(10));
		int first = this.a.dials.size();
		Truth.assertThat(first).isIn(Range.closed(5, 9));
		advance(Duration.ofMinutes(5));
		Truth.assertThat(this.a.dials.size() - first).isIn(Range.closed(29, 62));
	}

	/**
	 * Symptom: two daemons whose connection shows no error no longer hear each other, or
	 * one no longer hears the other. Sequence: an established connection loses all that
	 * is sent in the given directions; new connections work. Cause: something between
	 * them has lost track of the connection. The side that hears nothing must open a
	 * second connection and both must end up on it.
	 */
	@ParameterizedTest
	@CsvSource({ "true, false", "false, true", "true, true" })
	void aSilentConnectionIsReplaced(boolean fromA, boolean fromB) {
		advance(Duration.ofSeconds(2));
		if (fromA) {
			this.wire.silence("a", "b");
		}
		if (fromB) {
			this.wire.silence("b", "a");
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
		Truth.assertThat(this.a.open()).hasSize(1);
		Truth.assertThat(this.b.open()).hasSize(1);
	}

	/**
	 * Symptom: a daemon drops its only connection to a peer and can't get a new one.
	 * Sequence: the connection goes silent and no new one can be opened for a while.
	 * Cause: closing the old connection before the new one is proven.
	 */
	@Test
	void theOldConnectionStaysUntilTheNewOneIsOpen() {
		advance(Duration.ofSeconds(2));
		this.wire.silence("b", "a");
		this.a.unreachable.add("b");
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.a.dials).contains("b replacing");
		Truth.assertThat(this.a.open()).hasSize(1);
		Truth.assertThat(this.a.connections.connected()).isEmpty();
		this.a.unreachable.clear();
		advance(Duration.ofSeconds(10));
		Truth.assertThat(this.a.connections.connected()).containsExactly(B);
		Truth.assertThat(this.a.open()).hasSize(1);
	}

	/**
	 * Symptom: two daemons connect, disconnect and connect again without end. Sequence:
	 * both dial at the same moment and each sees the two connections open in another
	 * order. Cause: each closes the connection that the other keeps.
	 */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void ofTwoCrossedConnectionsBothSidesKeepTheSame(boolean firstByA) {
		FakeWire.Node first = firstByA ? this.a : this.b;
		FakeWire.Node second = firstByA ? this.b : this.a;
		first.connect(second, false);
		second.connect(first, false);
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.a.open()).hasSize(1);
		Truth.assertThat(this.a.open().get(0).dialled()).isTrue();
		Truth.assertThat(this.b.open()).hasSize(1);
		Truth.assertThat(this.b.open().get(0).dialled()).isFalse();
		Truth.assertThat(this.a.dials).isEmpty();
		Truth.assertThat(this.b.dials).isEmpty();
	}

	/**
	 * Symptom: a message of a daemon that was restarted takes effect after the new
	 * daemon's first message. Sequence: the daemon is restarted, the new one greets, and
	 * bytes of the old one are still under way. Cause: a look at the VM's name alone.
	 */
	@Test
	void framesOfAnEarlierIncarnationAreDropped() {
		advance(Duration.ofSeconds(1));
		FakeWire.End old = this.b.open().get(0);
		FakeWire.Node restarted = start("a", 2, this.ofA);
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.connections.heard(old, true)).isFalse();
		Truth.assertThat(this.b.count("peer.frames.stale-incarnation")).isEqualTo(1);
		this.b.connections.send(A, new byte[] { 1 });
		advance(Duration.ofSeconds(1));
		Truth.assertThat(restarted.received).hasSize(1);
	}

	@Test
	void aGreetingOfAnEarlierIncarnationIsRefused() {
		FakeWire.Node restarted = start("a", 2, this.ofA);
		advance(Duration.ofSeconds(1));
		this.ofA.desired.clear();
		this.a.connect(this.b, false);
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.a.open()).isEmpty();
		Truth.assertThat(restarted.open()).hasSize(1);
	}

	@Test
	void aMessageToAnUnconnectedVmWaitsForItsConnection() {
		this.ofA.desired.clear();
		this.ofB.desired.clear();
		Truth.assertThat(this.a.connections.send(B, new byte[] { 1 })).isTrue();
		Truth.assertThat(this.a.connections.send(B, new byte[] { 2 })).isTrue();
		advance(Duration.ofSeconds(1));
		Truth.assertThat(this.b.received.stream().map((payload) -> payload[0]).toList())
			.containsExactly((byte) 1, (byte) 2)
			.inOrder();
		advance(Duration.ofSeconds(58));
		Truth.assertThat(this.a.open()).hasSize(1);
		advance(Duration.ofSeconds(3));
		Truth.assertThat(this.a.open()).isEmpty();
		Truth.assertThat(this.b.open()).isEmpty();
	}

	@Test
	void messagesWaitWithinTheBoundOnly() {
		Truth.assertThat(this.a.connections.send(B, new byte[60])).isTrue();
		Truth.assertThat(this.a.connections.send(B, new byte[60])).isFalse();
		Truth.assertThat(this.a.count("peer.sends.refused")).isEqualTo(1);
	}

	@Test
	void aFailedDialLosesWhatWaitedAndRefusesMoreUntilTheNextDial() {
		this.a.unreachable.add("b");
		this.a.connections.send(B, new byte[1]);
		this.scheduler.advance(Duration.ofMillis(50));
		Truth.assertThat(this.a.count("peer.sends.lost-before-connection")).isEqualTo(1);
		Truth.assertThat(this.a.connections.send(B, new byte[1])).isFalse();
		this.scheduler.advance(Duration.ofMillis(200));
		Truth.assertThat(this.a.connections.send(B, new byte[1])).isTrue();
	}

	@Test
	void aVmWithoutAnAddressGetsNothing() {
		Truth.assertThat(this.a.connections.send(new VmId("c"), new byte[1])).isFalse();
		Truth.assertThat(this.a.connections.send(A, new byte[1])).isFalse();
	}

	@Test
	void heartbeatsFlowOnlyWhereNothingElseDoes() {
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
	 * Symptom: after a pause of its process a daemon replaces all its connections.
	 * Sequence: the process stands still for ten seconds and runs its timers before it
	 * reads its sockets. Cause: its own pause taken for the silence of all others.
	 */
	@Test
	void anOwnPauseIsNotTakenForSilence() {
		advance(Duration.ofSeconds(2));
		this.scheduler.advance(Duration.ofSeconds(10));
		this.a.connections.tick();
		Truth.assertThat(this.a.dials).containsExactly("b");
		Truth.assertThat(this.a.connections.connected()).containsExactly(B);
	}

	private FakeWire.Node start(String vm, long start, Directory directory) {
		return this.wire.start(vm, start, directory);
	}

	private void advance(Duration span) {
		long end = this.scheduler.nanos() + span.toNanos();
		while (this.scheduler.nanos() < end) {
			this.wire.tickAll();
			long left = end - this.scheduler.nanos();
			this.scheduler.advance(Duration.ofNanos(Math.min(TICK.toNanos(), left)));
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
