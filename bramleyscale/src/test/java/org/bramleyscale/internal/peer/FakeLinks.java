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
 * Simulated links between several {@link PeerConnections} on one manual clock.
 */
final class FakeLinks {

	static final byte[] PING = { 0 };

	private static final Duration LATENCY = Duration.ofMillis(1);

	private final ManualScheduler scheduler;

	private final Map<VmId, Node> nodes = new HashMap<>();

	private final List<FakeLink> links = new ArrayList<>();

	FakeLinks(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	Node start(String vm, long start, PeerDirectory directory) {
		Node node = new Node(new Incarnation(new VmId(vm), start), directory);
		this.nodes.put(node.self.vm(), node);
		return node;
	}

	/**
	 * Drops all further payloads sent in one direction on the current connections.
	 */
	void dropSends(String from, String to) {
		this.links.stream()
			.filter((link) -> link.owner.self.vm().value().equals(from))
			.filter((link) -> link.remote().incarnation().vm().value().equals(to))
			.forEach((link) -> link.dropsSends = true);
	}

	void tickAll() {
		this.nodes.values().forEach((node) -> node.connections.tick());
	}

	/**
	 * The connections of one daemon.
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
			this.connections = new PeerConnections(new PeerEnvironment(self.vm(), FakeLinks.this.scheduler,
					new Random(1), directory, this::dial, PeerTimings.DEFAULT, 100,
					new PeerCounters(this.metrics, MessageCatalog.builder().build()), PING));
		}

		List<FakeLink> openLinks() {
			return FakeLinks.this.links.stream().filter((link) -> link.owner == this && !link.closed).toList();
		}

		long count(String name) {
			return this.metrics.counter(name).getCount();
		}

		private void dial(VmId vm, String address, boolean replacing) {
			this.dials.add(vm + (replacing ? " replacing" : ""));
			Node other = FakeLinks.this.nodes.get(vm);
			boolean fails = other == null || this.unreachable.contains(vm.value());
			FakeLinks.this.scheduler.schedule(LATENCY, () -> {
				if (fails) {
					this.connections.dialFailed(vm);
				}
				else {
					connect(other, replacing);
				}
			});
		}

		void connect(Node other, boolean replacing) {
			FakeLink dialled = new FakeLink(this, other, true, replacing);
			FakeLink accepted = new FakeLink(other, this, false, replacing);
			dialled.opposite = accepted;
			accepted.opposite = dialled;
			FakeLinks.this.links.add(dialled);
			FakeLinks.this.links.add(accepted);
			FakeLinks.this.scheduler.schedule(LATENCY, () -> other.connections.opened(accepted));
			this.connections.opened(dialled);
		}

	}

	/**
	 * One end of a simulated connection.
	 */
	final class FakeLink implements PeerLink {

		@Override
		public long queuedBytes() {
			return 0;
		}

		private final Node owner;

		private final Node other;

		private final boolean dialled;

		private final boolean replacing;

		private FakeLink opposite;

		private boolean dropsSends;

		private boolean closed;

		private FakeLink(Node owner, Node other, boolean dialled, boolean replacing) {
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
			if (!this.closed && !this.dropsSends) {
				FakeLinks.this.scheduler.schedule(LATENCY, () -> this.opposite.deliver(payload));
			}
			return !this.closed;
		}

		@Override
		public void close() {
			if (!this.closed) {
				this.closed = true;
				FakeLinks.this.scheduler.schedule(LATENCY, this.opposite::closedByOpposite);
			}
		}

		private void deliver(byte[] payload) {
			if (this.closed) {
				return;
			}
			boolean message = payload != PING;
			boolean current = this.owner.connections.received(this, message);
			this.owner.heartbeats += message ? 0 : 1;
			if (current && message) {
				this.owner.received.add(payload);
			}
		}

		private void closedByOpposite() {
			if (!this.closed && !this.opposite.dropsSends) {
				this.closed = true;
				this.owner.connections.closed(this);
			}
		}

	}

}
