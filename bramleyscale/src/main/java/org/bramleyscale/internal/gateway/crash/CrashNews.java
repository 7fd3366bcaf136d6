package org.bramleyscale.internal.gateway.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.FleetNews;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Tells peers of crashes, and takes what they tell.
 *
 * <p>
 * Each of three crashes may be seen by another daemon, and each daemon must know all
 * three. What is new is told at once, on the ways of the store's news. Besides, each
 * daemon tells one peer after the other the worst that it knows, for those that have just
 * started or lost a message. Confined to the scheduler's thread.
 */
final class CrashNews implements FleetNews.Beliefs<CrashesTold> {

	/** Crashes in one repeated message: 60 bytes each, 1.2 KB a second. */
	private static final int MOST_REPEATED = 20;

	private final PeerNetwork network;

	private final FleetNews<CrashesTold> news;

	private final CrashLedger ledger;

	/**
	 * Makes the exchange.
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param routes who gets what is new
	 * @param ledger what is known
	 */
	CrashNews(Scheduler scheduler, PeerNetwork network, NewsRoutes routes, CrashLedger ledger) {
		this.network = network;
		this.ledger = ledger;
		this.news = new FleetNews<>(scheduler, network, routes, CrashesTold.class, this);
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	static void register(MessageCatalog.Builder builder) {
		builder.add(105, CrashesTold.class);
	}

	/**
	 * Tells all that is known of a request, since others may have missed what was told
	 * before.
	 * @param request the request
	 */
	void crashed(RequestDigest request) {
		this.news.tell(new CrashesTold(crashes(request, this.ledger.endpoints(request)), List.of(), List.of()));
	}

	void cleared(RequestDigest request) {
		this.news.tell(new CrashesTold(List.of(), List.of(request.value()), List.of()));
	}

	void lives(EndpointStart endpoint) {
		this.news.tell(new CrashesTold(List.of(), List.of(), List.of(endpoint.toString())));
	}

	@Override
	public Optional<CrashesTold> gist() {
		List<CrashesTold.Crash> worst = this.ledger.worst(MOST_REPEATED);
		return worst.isEmpty() ? Optional.empty() : Optional.of(new CrashesTold(worst, List.of(), List.of()));
	}

	@Override
	public Optional<CrashesTold> heard(Incarnation from, CrashesTold message) {
		tellBack(from, orEmpty(message.crashes()));
		List<CrashesTold.Crash> crashes = new ArrayList<>(orEmpty(message.crashes()));
		crashes.removeIf((crash) -> !this.ledger.crashed(new RequestDigest(crash.request()),
				EndpointStart.parse(crash.endpoint())));
		List<String> cleared = new ArrayList<>(orEmpty(message.cleared()));
		cleared.removeIf((request) -> !this.ledger.clear(new RequestDigest(request)));
		List<String> living = new ArrayList<>(orEmpty(message.living()));
		living.removeIf((endpoint) -> !this.ledger.lives(EndpointStart.parse(endpoint)));
		boolean news = !crashes.isEmpty() || !cleared.isEmpty() || !living.isEmpty();
		return news ? Optional.of(new CrashesTold(crashes, cleared, living)) : Optional.empty();
	}

	/**
	 * Tells a peer what it doesn't know of requests that it speaks of: further crashes,
	 * or that an answer came after those that it tells.
	 * @param from the peer
	 * @param told the crashes that it knows
	 */
	private void tellBack(Incarnation from, List<CrashesTold.Crash> told) {
		Map<RequestDigest, Set<EndpointStart>> missing = new LinkedHashMap<>();
		Set<String> cleared = new HashSet<>();
		for (CrashesTold.Crash crash : told) {
			RequestDigest request = new RequestDigest(crash.request());
			if (this.ledger.cleared(request, EndpointStart.parse(crash.endpoint()))) {
				cleared.add(crash.request());
			}
			missing.computeIfAbsent(request, (key) -> new HashSet<>(this.ledger.endpoints(key)))
				.remove(EndpointStart.parse(crash.endpoint()));
		}
		List<CrashesTold.Crash> crashes = new ArrayList<>();
		missing.forEach((request, endpoints) -> crashes.addAll(crashes(request, endpoints)));
		if (!crashes.isEmpty() || !cleared.isEmpty()) {
			this.network.send(from.vm(), new CrashesTold(crashes, List.copyOf(cleared), List.of()));
		}
	}

	private static List<CrashesTold.Crash> crashes(RequestDigest request, Set<EndpointStart> endpoints) {
		return endpoints.stream()
			.map((endpoint) -> new CrashesTold.Crash(request.value(), endpoint.toString()))
			.toList();
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? list : List.of();
	}

}
