package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Daemons with a shared membership view, and messages between them that a test may drop.
 */
final class FakePeers {

	static final DataCentre DATA_CENTRE = new DataCentre("rawang");

	/** Selects the messages that are lost. */
	Predicate<PeerMessage> lost = (message) -> false;

	final Set<VmId> unreachable = new HashSet<>();

	final List<PeerMessage> messages = new ArrayList<>();

	private final Scheduler scheduler;

	private final Map<VmId, Member> members = new LinkedHashMap<>();

	private final Map<VmId, Peer> peers = new HashMap<>();

	private final List<Runnable> listeners = new ArrayList<>();

	FakePeers(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	Peer join(Incarnation incarnation) {
		Peer peer = new Peer(incarnation);
		this.peers.put(incarnation.vm(), peer);
		state(incarnation, Member.State.ALIVE);
		return peer;
	}

	void state(Incarnation incarnation, Member.State state) {
		this.members.put(incarnation.vm(), new Member(incarnation, DATA_CENTRE, "", "", state));
		List.copyOf(this.listeners).forEach(Runnable::run);
	}

	private void deliver(Incarnation from, VmId to, PeerMessage message) {
		Peer peer = this.peers.get(to);
		if (!this.lost.test(message) && !this.unreachable.contains(to)) {
			peer.received(from, message);
		}
	}

	/**
	 * The network and membership view of one daemon.
	 */
	final class Peer implements PeerNetwork, MembershipView {

		private final Incarnation self;

		private final Map<Class<?>, PeerListener<PeerMessage>> handlers = new HashMap<>();

		private Peer(Incarnation self) {
			this.self = self;
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			if (FakePeers.this.unreachable.contains(to) || !FakePeers.this.peers.containsKey(to)) {
				return false;
			}
			FakePeers.this.messages.add(message);
			FakePeers.this.scheduler.execute(() -> deliver(this.self, to, message));
			return true;
		}

		@Override
		public Set<VmId> connected() {
			return FakePeers.this.peers.keySet();
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.handlers.put(type, (from, message) -> listener.received(from, type.cast(message)));
		}

		@Override
		public Incarnation self() {
			return this.self;
		}

		@Override
		public DataCentre dataCentre() {
			return DATA_CENTRE;
		}

		@Override
		public Collection<Member> members() {
			return FakePeers.this.members.values();
		}

		@Override
		public Optional<Member> member(VmId vm) {
			return Optional.ofNullable(FakePeers.this.members.get(vm));
		}

		@Override
		public List<Member> eligible() {
			return List.copyOf(FakePeers.this.members.values());
		}

		@Override
		public void onChange(Runnable listener) {
			FakePeers.this.listeners.add(listener);
		}

		private void received(Incarnation from, PeerMessage message) {
			this.handlers.get(message.getClass()).received(from, message);
		}

	}

}
