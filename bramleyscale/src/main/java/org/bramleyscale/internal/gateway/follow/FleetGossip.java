package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Disseminates updates of one daemon to all others.
 *
 * <p>
 * An update is sent at once and forwarded by relays as long as it is new to the receiver.
 * In addition, each daemon periodically sends a digest of its state to one peer after the
 * other, for peers that have just started or missed a message. Confined to the
 * scheduler's thread.
 *
 * @param <M> the type of the message that carries updates and digests
 */
public final class FleetGossip<M extends PeerMessage> {

	/** The interval between two digests, each of them sent to one peer. */
	static final Duration DIGEST_INTERVAL = Duration.ofSeconds(1);

	private final PeerNetwork network;

	private final UpdateRoutes routes;

	private final State<M> state;

	private int nextPeer;

	/**
	 * Starts to listen for messages of peers and to send digests.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to the peers
	 * @param routes the recipients of updates
	 * @param type the type of the message
	 * @param state the state that is exchanged
	 */
	public FleetGossip(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, Class<M> type, State<M> state) {
		this.network = network;
		this.routes = routes;
		this.state = state;
		network.listen(type, this::receive);
		scheduler.repeat(DIGEST_INTERVAL, this::sendDigest);
	}

	/**
	 * Sends an update that originates at this daemon.
	 * @param message the update
	 */
	public void publish(M message) {
		this.network.sendAll(this.routes.originRecipients(), message);
	}

	private void receive(Incarnation from, M message) {
		this.state.merge(from, message)
			.ifPresent((update) -> this.network.sendAll(this.routes.forwardRecipients(from.vm()), update));
	}

	private void sendDigest() {
		List<VmId> peers = List.copyOf(this.network.connected());
		if (!peers.isEmpty()) {
			this.state.digest().ifPresent((digest) -> this.network.send(peerInTurn(peers, this.nextPeer++), digest));
		}
	}

	/**
	 * The peer whose turn it is. The hash of a daemon's peers differs between daemons: if
	 * all that start together began with the same peer, each would get all digests at
	 * once, and then none until all others have had theirs.
	 * @param peers the connected peers
	 * @param turn the number of turns before
	 * @return one of them
	 */
	static VmId peerInTurn(List<VmId> peers, int turn) {
		return peers.get(Math.floorMod(Set.copyOf(peers).hashCode() + turn, peers.size()));
	}

	/**
	 * The state that is exchanged between daemons.
	 *
	 * @param <M> the type of the message that carries it
	 */
	public interface State<M extends PeerMessage> {

		/**
		 * Merges a peer's update or digest.
		 * @param from the peer
		 * @param message its update or digest
		 * @return the part that is new to this daemon, or empty if there is none
		 */
		Optional<M> merge(Incarnation from, M message);

		/**
		 * Returns what a daemon that has just started needs to know.
		 * @return the digest, or empty if there is nothing to send
		 */
		Optional<M> digest();

	}

}
