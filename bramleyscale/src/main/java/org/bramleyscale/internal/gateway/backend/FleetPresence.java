package org.bramleyscale.internal.gateway.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.follow.FleetNews;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Which endpoints take requests, as the list and the endpoints themselves say.
 *
 * <p>
 * An endpoint tells that it leaves with its next answer, and its entry on the list may
 * follow much later, while the platform's store is away. The daemon that hears it tells
 * the others, so that they needn't find out with a request that is cut off. Confined to
 * the scheduler's thread.
 */
public final class FleetPresence implements EndpointPresence, FleetNews.Beliefs<LeavingTold> {

	/** Endpoints in one repeated message: 30 bytes each. */
	private static final int MOST_REPEATED = 40;

	private final BackendTable backends;

	private final FleetNews<LeavingTold> news;

	/**
	 * Makes the daemon's knowledge of who takes requests.
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param routes who gets what is new
	 * @param backends the endpoints
	 */
	public FleetPresence(Scheduler scheduler, PeerNetwork network, NewsRoutes routes, BackendTable backends) {
		this.backends = backends;
		this.news = new FleetNews<>(scheduler, network, routes, LeavingTold.class, this);
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
			this.news.tell(new LeavingTold(List.of(endpoint.toString())));
		}
	}

	@Override
	public Optional<LeavingTold> gist() {
		return told(this.backends.leaving()
			.stream()
			.limit(MOST_REPEATED)
			.map((backend) -> backend.start().toString())
			.toList());
	}

	@Override
	public Optional<LeavingTold> heard(Incarnation from, LeavingTold message) {
		List<String> endpoints = new ArrayList<>((message.endpoints() != null) ? message.endpoints() : List.of());
		endpoints.removeIf((endpoint) -> !this.backends.noteLeaving(EndpointStart.parse(endpoint), from));
		return told(endpoints);
	}

	private static Optional<LeavingTold> told(List<String> endpoints) {
		return endpoints.isEmpty() ? Optional.empty() : Optional.of(new LeavingTold(endpoints));
	}

}
