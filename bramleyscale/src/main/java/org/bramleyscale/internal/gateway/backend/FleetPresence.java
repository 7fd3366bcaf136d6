package org.bramleyscale.internal.gateway.backend;

import java.util.Collection;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;

/**
 * Which endpoints take requests, as the list and the endpoints themselves say.
 *
 * <p>
 * An endpoint tells that it leaves with its next answer, and its entry on the list may
 * follow much later, while the platform's store is away. The daemon that hears it tells
 * the others, so that they needn't find out with a request that is cut off. One that a
 * message doesn't reach hears it from the endpoint. Confined to the scheduler's thread.
 */
public final class FleetPresence implements EndpointPresence {

	private final BackendTable backends;

	private final PeerNetwork network;

	private final NewsRoutes routes;

	public FleetPresence(BackendTable backends, PeerNetwork network, NewsRoutes routes) {
		this.backends = backends;
		this.network = network;
		this.routes = routes;
		network.listen(LeavingTold.class, this::told);
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(107, LeavingTold.class);
	}

	@Override
	public boolean offers(Backend backend) {
		return this.backends.offers(backend);
	}

	@Override
	public void leaves(EndpointStart endpoint) {
		if (this.backends.noteLeaving(endpoint, "its answer")) {
			tell(this.routes.firstHand(), endpoint);
		}
	}

	private void told(Incarnation from, LeavingTold message) {
		EndpointStart endpoint = EndpointStart.parse(message.endpoint());
		if (this.backends.noteLeaving(endpoint, from)) {
			tell(this.routes.passedOn(from.vm()), endpoint);
		}
	}

	private void tell(Collection<VmId> peers, EndpointStart endpoint) {
		this.network.sendAll(peers, new LeavingTold(endpoint.toString()));
	}

}
