package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Carries what one daemon has learnt to all others.
 *
 * <p>
 * It goes out at once and is passed on by relays for as long as it is new to whoever
 * hears it. Besides, each daemon repeats the gist of what it knows to one peer after the
 * other, for those that have just started or lost a message. Confined to the scheduler's
 * thread.
 *
 * @param <M> the message that carries it
 */
public final class FleetNews<M extends PeerMessage> {

	/** The pause between two repetitions, each of them to one peer. */
	static final Duration PAUSE = Duration.ofSeconds(1);

	private final PeerNetwork network;

	private final NewsRoutes routes;

	private final Beliefs<M> beliefs;

	private int next;

	/**
	 * Makes the carrier, which listens and repeats from now on.
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param routes who gets what is new
	 * @param type the message
	 * @param beliefs what is known
	 */
	public FleetNews(Scheduler scheduler, PeerNetwork network, NewsRoutes routes, Class<M> type, Beliefs<M> beliefs) {
		this.network = network;
		this.routes = routes;
		this.beliefs = beliefs;
		network.listen(type, this::heard);
		scheduler.repeat(PAUSE, this::repeat);
	}

	/**
	 * Tells what this daemon has learnt by itself.
	 * @param message the news
	 */
	public void tell(M message) {
		this.network.sendAll(this.routes.firstHand(), message);
	}

	private void heard(Incarnation from, M message) {
		this.beliefs.heard(from, message)
			.ifPresent((news) -> this.network.sendAll(this.routes.passedOn(from.vm()), news));
	}

	private void repeat() {
		List<VmId> peers = List.copyOf(this.network.connected());
		if (!peers.isEmpty()) {
			this.beliefs.gist().ifPresent((gist) -> this.network.send(peers.get(this.next++ % peers.size()), gist));
		}
	}

	/**
	 * What a daemon knows of one matter.
	 *
	 * @param <M> the message that carries it
	 */
	public interface Beliefs<M extends PeerMessage> {

		/**
		 * Takes a peer's word.
		 * @param from the peer
		 * @param message what it tells
		 * @return what of it is new here, or empty if nothing is
		 */
		Optional<M> heard(Incarnation from, M message);

		/**
		 * What a daemon that has just started needs to know.
		 * @return the message, or empty if there is nothing to tell
		 */
		Optional<M> gist();

	}

}
