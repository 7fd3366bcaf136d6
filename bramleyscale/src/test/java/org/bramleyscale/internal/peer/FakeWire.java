package org.bramleyscale.internal.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Connections between several {@link PeerConnections} on one manual clock.
 */
final class FakeWire {

	static final byte[] PING = { 0 };

	private static final Duration LATENCY = Duration.ofMillis(1);

	private final ManualScheduler scheduler;

	private final Map<VmId, Node> nodes = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	FakeWire(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	Node start(String vm, long start, PeerDirectory directory) {
		Node node = new Node(new Incarnation(new VmId(vm), start), directory);
		this.nodes.put(node.self.vm(), node);
		return node;
	}

	/**
	 * Loses from now on what is sent on the present connections in one direction.
	 */
	void silence(String from, String to) {
		this.ends.stream()
			.filter((end) -> end.owner.self.vm().value().equals(from))
			.filter((end) -> end.remote().incarnation().vm().value().equals(to))
			.forEach((end) -> end.silent = true);
	}

	void tickAll() {
		this.nodes.values().forEach((node) -> node.connections.tick());
	}

	/**
	 * One daemon's side.
	 */
	final class Node {

		final Incarnation self;

		final MetricRegistry metrics = new MetricRegistry();

		final PeerConnections connections;

		final List<String> dials = new ArrayList<>();

		final List<byte[]> received = new ArrayList<>();

		final Set<String> unreachable = new HashSet<>();

		int heartbeats;

		private Node(Incarnation self, PeerDirectory directory) {
			this.self = self;
			this.connections = new PeerConnections(new PeerEnvironment(self.vm(), FakeWire.this.scheduler,
					new Random(1), directory, this::dial, PeerTimes.DEFAULT, 100,
					new PeerCounters(this.metrics, MessageCatalog.builder().build()), PING));
		}

		List<End> open() {
			return FakeWire.this.ends.stream().filter((end) -> end.owner == this && !end.closed).toList();
		}

		long count(String name) {
			return this.metrics.counter(name).getCount();
		}

		private void dial(VmId vm, String address, boolean replacing) {
			this.dials.add(vm + (replacing ? " replacing" : ""));
			Node other = FakeWire.this.nodes.get(vm);
			boolean fails = other == null || this.unreachable.contains(vm.value());
			FakeWire.this.scheduler.schedule(LATENCY, () -> {
				if (fails) {
					this.connections.dialFailed(vm);
				}
				else {
					connect(other, replacing);
				}
			});
		}

		void connect(Node other, boolean replacing) {
			End near = new End(this, other, true, replacing);
			End far = new End(other, this, false, replacing);
			near.far = far;
			far.far = near;
			FakeWire.this.ends.add(near);
			FakeWire.this.ends.add(far);
			FakeWire.this.scheduler.schedule(LATENCY, () -> other.connections.opened(far));
			this.connections.opened(near);
		}

	}

	/**
	 * One end of a connection.
	 */
	final class End implements PeerLink {

		@Override
		public long queued() {
			return 0;
		}

		private final Node owner;

		private final Node other;

		private final boolean dialled;

		private final boolean replacing;

		private End far;

		private boolean silent;

		private boolean closed;

		private End(Node owner, Node other, boolean dialled, boolean replacing) {
			this.owner = owner;
			this.other = other;
			this.dialled = dialled;
			this.replacing = replacing;
		}

		@Override
		public PeerIdentity remote() {
			return new PeerIdentity(this.other.self, new DataCentre("rawang"), "10.0.0.1:1", "10.0.0.1:2");
		}

		@Override
		public boolean dialled() {
			return this.dialled;
		}

		@Override
		public boolean replacing() {
			return this.replacing;
		}

		@Override
		public boolean send(byte[] payload) {
			if (!this.closed && !this.silent) {
				FakeWire.this.scheduler.schedule(LATENCY, () -> this.far.arrive(payload));
			}
			return !this.closed;
		}

		@Override
		public void close() {
			if (!this.closed) {
				this.closed = true;
				FakeWire.this.scheduler.schedule(LATENCY, this.far::closedByOther);
			}
		}

		private void arrive(byte[] payload) {
			if (this.closed) {
				return;
			}
			boolean message = payload != PING;
			boolean current = this.owner.connections.heard(this, message);
			this.owner.heartbeats += message ? 0 : 1;
			if (current && message) {
				this.owner.received.add(payload);
			}
		}

		private void closedByOther() {
			if (!this.closed && !this.far.silent) {
				this.closed = true;
				this.owner.connections.closed(this);
			}
		}

	}

}
