package org.bramleyscale.internal.gateway.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.follow.FleetGossip;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Knows which endpoints accept requests, from the platform's list and from the endpoints'
 * own notices, which it shares with peers.
 *
 * <p>
 * An endpoint announces in its next answer that it is leaving; its entry on the list may
 * change much later if the platform's store is unavailable. The daemon that receives the
 * answer notifies the others, so that they don't find out by a request that is cut off.
 * Confined to the scheduler's thread.
 */
public final class FleetPresence implements EndpointPresence, FleetGossip.State<LeavingUpdate> {

	/** Maximum number of endpoints in a repeated message: 30 bytes each. */
	private static final int MAX_REPEATED = 40;

	private final BackendTable backends;

	private final FleetGossip<LeavingUpdate> gossip;

	/**
	 * Creates an instance and starts to exchange announcements of leaving endpoints with
	 * peers.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param backends the table of endpoints
	 */
	public FleetPresence(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, BackendTable backends) {
		this.backends = backends;
		this.gossip = new FleetGossip<>(scheduler, network, routes, LeavingUpdate.class, this);
	}

	/**
	 * Registers this package's peer messages.
	 * @param builder the message catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(107, LeavingUpdate.class, "LeavingTold");
	}

	@Override
	public boolean acceptsRequests(Backend backend) {
		return this.backends.acceptsRequests(backend);
	}

	@Override
	public void announceLeaving(EndpointStart endpoint) {
		if (this.backends.markLeaving(endpoint, "its answer")) {
			this.gossip.publish(new LeavingUpdate(List.of(endpoint.toString())));
		}
	}

	@Override
	public Optional<LeavingUpdate> digest() {
		return toMessage(this.backends.leaving()
			.stream()
			.limit(MAX_REPEATED)
			.map((backend) -> backend.start().toString())
			.toList());
	}

	@Override
	public Optional<LeavingUpdate> merge(Incarnation from, LeavingUpdate message) {
		List<String> endpoints = new ArrayList<>((message.endpoints() != null) ? message.endpoints() : List.of());
		endpoints.removeIf((endpoint) -> !this.backends.markLeaving(EndpointStart.parse(endpoint), from));
		return toMessage(endpoints);
	}

	private static Optional<LeavingUpdate> toMessage(List<String> endpoints) {
		return endpoints.isEmpty() ? Optional.empty() : Optional.of(new LeavingUpdate(endpoints));
	}

}
