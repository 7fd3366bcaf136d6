package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Delivers messages between daemons after a fixed latency, unless one of them is
 * partitioned.
 */
final class FakeNetwork {

	static final Duration LATENCY = Duration.ofMillis(1);

	private final ManualScheduler scheduler;

	private final Map<VmId, Peer> peers = new HashMap<>();

	private final Set<VmId> partitioned = new HashSet<>();

	private Consumer<PeerMessage> tap = (message) -> {
	};

	FakeNetwork(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	PeerNetwork join(Incarnation incarnation) {
		Peer peer = new Peer(incarnation);
		this.peers.put(incarnation.vm(), peer);
		return peer;
	}

	void leave(VmId vm) {
		this.peers.remove(vm);
	}

	/** Silently drops all messages to and from a VM. */
	void partition(VmId vm) {
		this.partitioned.add(vm);
	}

	void heal(VmId vm) {
		this.partitioned.remove(vm);
	}

	void tap(Consumer<PeerMessage> listener) {
		this.tap = listener;
	}

	private void deliver(Peer from, VmId to, PeerMessage message) {
		this.tap.accept(message);
		boolean staleSender = this.peers.get(from.incarnation.vm()) != from;
		if (staleSender || this.partitioned.contains(from.incarnation.vm()) || this.partitioned.contains(to)) {
			return;
		}
		this.scheduler.schedule(LATENCY, () -> {
			Peer receiver = this.peers.get(to);
			if (receiver != null) {
				receiver.listeners.getOrDefault(message.getClass(), List.of())
					.forEach((listener) -> listener.received(from.incarnation, message));
			}
		});
	}

	private final class Peer implements PeerNetwork {

		private final Incarnation incarnation;

		private final Map<Class<?>, List<PeerListener<PeerMessage>>> listeners = new HashMap<>();

		private Peer(Incarnation incarnation) {
			this.incarnation = incarnation;
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			deliver(this, to, message);
			return true;
		}

		@Override
		public Set<VmId> connected() {
			return Set.copyOf(FakeNetwork.this.peers.keySet());
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.computeIfAbsent(type, (key) -> new ArrayList<>())
				.add((from, message) -> listener.received(from, type.cast(message)));
		}

	}

}
