package org.bramleyscale.internal.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A peer network that also delivers messages to the daemon itself.
 *
 * <p>
 * The owner of an endpoint may be the entry that uses it. Messages to the local daemon
 * are delivered by a later task, never within {@code send}, so that local and remote
 * delivery have the same order of events. The pool, owner and reservations of a daemon
 * must share one instance. Confined to the scheduler's thread.
 */
public final class LoopbackPeerNetwork implements PeerNetwork {

	private final PeerNetwork remote;

	private final Scheduler scheduler;

	private final Incarnation self;

	private final Map<Class<?>, List<PeerListener<PeerMessage>>> listeners = new HashMap<>();

	public LoopbackPeerNetwork(PeerNetwork remote, Scheduler scheduler, Incarnation self) {
		this.remote = remote;
		this.scheduler = scheduler;
		this.self = self;
	}

	@Override
	public boolean send(VmId to, PeerMessage message) {
		if (!to.equals(this.self.vm())) {
			return this.remote.send(to, message);
		}
		this.scheduler.execute(() -> deliver(message));
		return true;
	}

	@Override
	public Set<VmId> connected() {
		return this.remote.connected();
	}

	@Override
	public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
		this.remote.listen(type, listener);
		this.listeners.computeIfAbsent(type, (key) -> new ArrayList<>())
			.add((from, message) -> listener.received(from, type.cast(message)));
	}

	private void deliver(PeerMessage message) {
		for (PeerListener<PeerMessage> listener : this.listeners.getOrDefault(message.getClass(), List.of())) {
			listener.received(this.self, message);
		}
	}

}
