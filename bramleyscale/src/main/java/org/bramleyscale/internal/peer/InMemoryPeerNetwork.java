package org.bramleyscale.internal.peer;

import java.util.Set;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;

/**
 * The network of one daemon of an {@link InMemoryPeerHub}.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class InMemoryPeerNetwork implements PeerNetwork {

	private final InMemoryPeerHub hub;

	private final Incarnation self;

	private final PeerListeners listeners = new PeerListeners();

	InMemoryPeerNetwork(InMemoryPeerHub hub, Incarnation self) {
		this.hub = hub;
		this.self = self;
	}

	public Incarnation self() {
		return this.self;
	}

	@Override
	public boolean send(VmId to, PeerMessage message) {
		return this.hub.send(this, to, message);
	}

	@Override
	public Set<VmId> connected() {
		return this.hub.connected(this);
	}

	@Override
	public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
		this.listeners.add(type, listener);
	}

	void deliver(Incarnation from, PeerMessage message) {
		this.listeners.deliver(from, message);
	}

}
