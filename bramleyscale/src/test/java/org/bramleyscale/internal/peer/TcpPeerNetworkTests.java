package org.bramleyscale.internal.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Uses real sockets on loopback. Each wait ends with an event; the timeout only ends a
 * test that would otherwise hang.
 */
@Timeout(60)
class TcpPeerNetworkTests {

	private static final byte[] KEY = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);

	private static final byte[] OTHER_KEY = "another key of 20 bytes".getBytes(StandardCharsets.UTF_8);

	private static final PeerTimings TIMINGS = new PeerTimings(Duration.ofMillis(200), Duration.ofMillis(1_000),
			Duration.ofSeconds(30), Duration.ofMillis(500), Duration.ofMinutes(1), Duration.ofSeconds(5),
			Duration.ofMillis(50), Duration.ofMillis(500));

	private static final MessageCodec CODEC = new MessageCodec(
			PeerMessages.register(MessageCatalog.builder()).add(99, Note.class).build());

	private final Map<VmId, String> addresses = new ConcurrentHashMap<>();

	private final List<AutoCloseable> toClose = new ArrayList<>();

	@AfterEach
	void close() throws Exception {
		for (AutoCloseable closeable : this.toClose) {
			closeable.close();
		}
	}

	@Test
	void messagesArriveInOrderInBothDirections() throws Exception {
		Daemon a = daemon("a", KEY);
		Daemon b = daemon("b", KEY);
		for (int i = 0; i < 100; i++) {
			a.send("b", new Note(i, new byte[i]));
		}
		for (int i = 0; i < 100; i++) {
			Truth.assertThat(b.notes.take()).isEqualTo("a~1 " + i + " " + i);
		}
		b.send("a", new Note(7, new byte[0]));
		Truth.assertThat(a.notes.take()).isEqualTo("b~1 7 0");
	}

	/**
	 * Guards against the loss of a peer's first message when it arrives together with the
	 * last frame of the handshake and is decoded before the link exists.
	 */
	@Test
	void messageArrivingWithTheHandshakeIsDelivered() throws Exception {
		Daemon a = daemon("a", KEY);
		try (RawPeer peer = new RawPeer(CODEC, KEY, new Socket(InetAddress.getLoopbackAddress(), a.port))) {
			peer.handshake(identity("b"), new VmId("a"), new Note(1, new byte[3]));
			Truth.assertThat(a.notes.take()).isEqualTo("b~1 1 3");
		}
	}

	@Test
	void platformObjectOfMaximumSizeFitsInAFrame() throws Exception {
		Daemon a = daemon("a", KEY);
		Daemon b = daemon("b", KEY);
		a.send("b", new Note(1, new byte[1_000_000]));
		Truth.assertThat(b.notes.take()).isEqualTo("a~1 1 1000000");
		Truth.assertThat(a.trySend("b", new Note(1, new byte[TcpPeerSettings.DEFAULT_MAX_FRAME_BYTES]))).isFalse();
	}

	@Test
	void peerWithAWrongKeyIsDisconnected() throws Exception {
		Daemon a = daemon("a", KEY);
		Daemon b = daemon("b", OTHER_KEY);
		b.addDesired("a");
		a.awaitCount("peer.cut-off.wrong-key");
		Truth.assertThat(a.callOnLoop(() -> a.network.connected())).isEmpty();
		Truth.assertThat(a.count("peer.connections.opened")).isEqualTo(0);
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\n\r\n", "\0\0\0\1\u00c0", "\0\0\0\3\u0093\1\1",
			"\0\0\0\4\u0093\1\1\u0090", "\0\0\0\11\u0093\1\2\u0091\u00c6\177\377\377\377", "\0\0\0\4\u0093\1\143\u0090",
			"\0\0\0\4\u0093\2\1\u0090", "\0\0\0\0", "\377\377\377\377" })
	void malformedHandshakeIsDisconnectedAndCounted(String input) throws Exception {
		Daemon a = daemon("a", KEY);
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), a.port)) {
			socket.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
			socket.getInputStream().readAllBytes();
		}
		Truth.assertThat(a.count("peer.cut-off.malformed") + a.count("peer.cut-off.wrong-version")).isEqualTo(1);
	}

	@Test
	void malformedFrameAfterTheHandshakeIsDisconnected() throws Exception {
		Daemon a = daemon("a", KEY);
		try (RawPeer peer = connect(a)) {
			peer.write(new byte[] { 1, 2, 3 });
			peer.awaitClose();
		}
		a.awaitCount("peer.cut-off.malformed");
	}

	/** Guards against reading on where it isn't known where a frame begins. */
	@Test
	void framesBehindAMalformedOneAreDropped() throws Exception {
		Daemon a = daemon("a", KEY);
		try (RawPeer peer = connect(a)) {
			peer.writeTogether(new byte[] { 1, 2, 3 }, CODEC.encode(new Note(1, new byte[3])));
			peer.awaitClose();
		}
		a.awaitCount("peer.cut-off.malformed");
		while (!a.callOnLoop(() -> a.network.connected()).isEmpty()) {
			Thread.onSpinWait();
		}
		Truth.assertThat(a.notes).isEmpty();
	}

	/**
	 * Guards against an attacker without the key that is accepted as a daemon: it dials
	 * two daemons and relays the hello and proof of each to the other, which succeeds if
	 * proofs don't depend on the sender's role.
	 */
	@Test
	void proofsRelayedBetweenTwoDaemonsAreRejected() throws Exception {
		Daemon a = daemon("a", KEY);
		Daemon b = daemon("b", KEY);
		try (RawPeer toA = new RawPeer(CODEC, KEY, new Socket(InetAddress.getLoopbackAddress(), a.port));
				RawPeer toB = new RawPeer(CODEC, KEY, new Socket(InetAddress.getLoopbackAddress(), b.port))) {
			toB.write(toA.read());
			toA.write(toB.read());
			toB.write(toA.read());
			toA.write(toB.read());
			toA.awaitClose();
			toB.awaitClose();
		}
		a.awaitCount("peer.cut-off.wrong-key");
		b.awaitCount("peer.cut-off.wrong-key");
	}

	/**
	 * Guards against a connection to a working daemon that stops delivering without an
	 * error because something on the network path no longer tracks it. A second
	 * connection must be opened while the first is still open, and messages must be sent
	 * over it.
	 */
	@Test
	void silentConnectionIsReplacedByANewOne() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			this.addresses.put(new VmId("b"), "127.0.0.1:" + listener.getLocalPort());
			Daemon a = daemon("a", KEY);
			a.addDesired("b");
			try (RawPeer silent = new RawPeer(CODEC, KEY, listener.accept())) {
				Truth.assertThat(silent.handshake(identity("b"), null).replacing()).isFalse();
				try (RawPeer second = new RawPeer(CODEC, KEY, listener.accept())) {
					Truth.assertThat(a.count("peer.connections.opened")).isEqualTo(1);
					Truth.assertThat(second.handshake(identity("b"), null).replacing()).isTrue();
					silent.awaitClose();
					a.send("b", new Note(5, new byte[0]));
					Truth.assertThat(((Note) second.readMessage()).number()).isEqualTo(5);
				}
			}
		}
	}

	/**
	 * Guards against an exhausted heap: a peer keeps its connection open without reading,
	 * and frames are queued without a bound.
	 */
	@Test
	void queueOfAPeerThatDoesNotReadIsBounded() throws Exception {
		Daemon a = daemon("a", KEY);
		try (RawPeer peer = connect(a)) {
			a.awaitCount("peer.connections.opened");
			int accepted = 0;
			byte[] incompressible = new byte[1_000_000];
			new Random(1).nextBytes(incompressible);
			while (a.trySend("b", new Note(accepted, incompressible))) {
				accepted++;
				Truth.assertThat(accepted).isLessThan(100);
			}
			Truth.assertThat(accepted).isAtLeast(16);
			Truth.assertThat(a.count("peer.sends.refused")).isEqualTo(1);
		}
	}

	@Test
	void addressInUseIsReportedWithTheAddress() throws Exception {
		Daemon a = daemon("a", KEY);
		EventLoop loop = new EventLoop("second");
		this.toClose.add(loop);
		TcpPeerNetwork second = new TcpPeerNetwork(settings("b", KEY, a.port), loop, CODEC, new Random(1),
				new MetricRegistry());
		this.toClose.add(second);
		try {
			second.start(new Directory(Set.of()));
		}
		catch (ServingException ex) {
			Truth.assertThat(ex).hasMessageThat().contains(":" + a.port);
			return;
		}
		throw new AssertionError("bound an address that is in use");
	}

	private static RawPeer connect(Daemon daemon) throws Exception {
		RawPeer peer = new RawPeer(CODEC, KEY, new Socket(InetAddress.getLoopbackAddress(), daemon.port));
		peer.handshake(identity("b"), new VmId("a"));
		return peer;
	}

	private Daemon daemon(String vm, byte[] key) throws ServingException {
		Daemon daemon = new Daemon(vm, key);
		this.addresses.put(new VmId(vm), "127.0.0.1:" + daemon.port);
		return daemon;
	}

	private static TcpPeerSettings settings(String vm, byte[] key, int port) {
		return TcpPeerSettings.builder()
			.identity(identity(vm))
			.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
			.key(key)
			.timings(TIMINGS)
			.build();
	}

	private static PeerIdentity identity(String vm) {
		return new PeerIdentity(new Incarnation(new VmId(vm), 1), new DataCentre("rawang"), "127.0.0.1:1",
				"127.0.0.1:2");
	}

	private record Note(int number, byte[] value) implements PeerMessage {
	}

	private final class Daemon {

		private final EventLoop loop;

		private final MetricRegistry metrics = new MetricRegistry();

		private final TcpPeerNetwork network;

		private final Set<VmId> desired = ConcurrentHashMap.newKeySet();

		private final BlockingQueue<String> notes = new LinkedBlockingQueue<>();

		private final int port;

		private Daemon(String vm, byte[] key) throws ServingException {
			this.loop = new EventLoop(vm);
			this.network = new TcpPeerNetwork(settings(vm, key, 0), this.loop, CODEC, new Random(1), this.metrics);
			this.network.listen(Note.class,
					(from, note) -> this.notes.add(from + " " + note.number() + " " + note.value().length));
			TcpPeerNetworkTests.this.toClose.add(this.network);
			TcpPeerNetworkTests.this.toClose.add(this.loop);
			this.port = this.network.start(new Directory(this.desired));
		}

		private void addDesired(String vm) {
			this.desired.add(new VmId(vm));
		}

		private void send(String vm, Note note) throws Exception {
			Truth.assertThat(trySend(vm, note)).isTrue();
		}

		private boolean trySend(String vm, Note note) throws Exception {
			return callOnLoop(() -> this.network.send(new VmId(vm), note));
		}

		private <T> T callOnLoop(Supplier<T> task) throws Exception {
			return CompletableFuture.supplyAsync(task, this.loop::execute).get(30, TimeUnit.SECONDS);
		}

		private long count(String name) {
			return this.metrics.counter(name).getCount();
		}

		private void awaitCount(String name) throws Exception {
			while (count(name) == 0) {
				callOnLoop(() -> 0);
			}
		}

	}

	private final class Directory implements PeerDirectory {

		private final Set<VmId> desired;

		private Directory(Set<VmId> desired) {
			this.desired = desired;
		}

		@Override
		public Set<VmId> desiredPeers() {
			return this.desired;
		}

		@Override
		public Optional<String> address(VmId vm) {
			return Optional.ofNullable(TcpPeerNetworkTests.this.addresses.get(vm));
		}

	}

}
