package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.peer.PeerProtocolException;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Connections between daemons in memory, which can be cut and made to lose, repeat and
 * reorder messages.
 */
final class FakePeers {

	private static final Duration LATENCY = Duration.ofMillis(1);

	private final Scheduler scheduler;

	private final Random random;

	private final Map<VmId, Node> nodes = new TreeMap<>((left, right) -> left.value().compareTo(right.value()));

	private BiPredicate<VmId, VmId> linked = (from, to) -> true;

	private final MessageCodec codec = new MessageCodec(
			ConfigurationMessages.register(MessageCatalog.builder()).build());

	/** The bytes that each daemon has sent, without the frames around them. */
	final Map<VmId, Long> bytesSent = new HashMap<>();

	private double faultRate;

	FakePeers(Scheduler scheduler, long seed) {
		this.scheduler = scheduler;
		this.random = new Random(seed);
	}

	PeerNetwork join(Incarnation incarnation) {
		Node node = new Node(incarnation);
		this.nodes.put(incarnation.vm(), node);
		return node;
	}

	void leave(VmId vm) {
		this.nodes.remove(vm);
	}

	/** Messages pass only between daemons for which the predicate holds. */
	void link(BiPredicate<VmId, VmId> predicate) {
		this.linked = predicate;
	}

	/** The share of messages that are lost, and of those that are repeated or late. */
	void faultRate(double rate) {
		this.faultRate = rate;
	}

	boolean linked(VmId from, VmId to) {
		return this.nodes.containsKey(to) && this.linked.test(from, to);
	}

	/** All daemons reachable through any chain of links, the first one included. */
	Set<VmId> reachable(VmId first) {
		Set<VmId> reached = new HashSet<>(Set.of(first));
		boolean grown = true;
		while (grown) {
			grown = false;
			for (VmId vm : this.nodes.keySet()) {
				if (!reached.contains(vm) && reached.stream().anyMatch((known) -> linked(known, vm))) {
					grown = reached.add(vm);
				}
			}
		}
		return reached;
	}

	private void transmit(Incarnation from, VmId to, PeerMessage message) {
		Node sender = this.nodes.get(from.vm());
		boolean dead = sender == null || !sender.incarnation.equals(from);
		if (dead || this.random.nextDouble() < this.faultRate) {
			return;
		}
		PeerMessage copied = encoded(from, message);
		boolean repeated = this.random.nextDouble() < this.faultRate;
		for (int copy = 0; copy < (repeated ? 2 : 1); copy++) {
			boolean late = this.random.nextDouble() < this.faultRate;
			Duration delay = late ? Duration.ofMillis(this.random.nextInt(3000)) : LATENCY;
			this.scheduler.schedule(delay, () -> deliver(from, to, copied));
		}
	}

	private PeerMessage encoded(Incarnation from, PeerMessage message) {
		byte[] bytes = this.codec.encode(message);
		this.bytesSent.merge(from.vm(), (long) bytes.length, Long::sum);
		try {
			return this.codec.decode(from.toString(), bytes).orElseThrow();
		}
		catch (PeerProtocolException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void deliver(Incarnation from, VmId to, PeerMessage message) {
		Node node = this.nodes.get(to);
		if (node != null && this.linked.test(from.vm(), to)) {
			node.receive(from, message);
		}
	}

	/**
	 * One daemon's end.
	 */
	private final class Node implements PeerNetwork {

		private final Incarnation incarnation;

		private final Map<Class<?>, PeerListener<PeerMessage>> listeners = new HashMap<>();

		private Node(Incarnation incarnation) {
			this.incarnation = incarnation;
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			transmit(this.incarnation, to, message);
			return FakePeers.this.nodes.containsKey(to);
		}

		@Override
		public Set<VmId> connected() {
			return FakePeers.this.nodes.keySet()
				.stream()
				.filter((vm) -> linked(this.incarnation.vm(), vm))
				.collect(Collectors.toSet());
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.put(type, (from, message) -> listener.received(from, type.cast(message)));
		}

		private void receive(Incarnation from, PeerMessage message) {
			this.listeners.get(message.getClass()).received(from, message);
		}

	}

}
