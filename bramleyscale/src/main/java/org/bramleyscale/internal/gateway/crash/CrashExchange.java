package org.bramleyscale.internal.gateway.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.FleetGossip;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Exchanges crash reports with peers.
 *
 * <p>
 * The three crashes after which a request is sent only as a trial may be seen by three
 * different daemons, and every daemon must know of all three. A daemon broadcasts new
 * reports at once, along the same routes as updates from the store. In addition it
 * repeats the crashes of the requests with the most crashes to one peer after another,
 * for peers that have just started or missed a message. Confined to the scheduler's
 * thread.
 */
final class CrashExchange implements FleetGossip.State<CrashUpdate> {

	/**
	 * Maximum number of crashes in a repeated message: 60 bytes each, 1.2 KB a second.
	 */
	private static final int MAX_REPEATED = 20;

	private final PeerNetwork network;

	private final FleetGossip<CrashUpdate> gossip;

	private final CrashRegistry registry;

	private final Consumer<EndpointStart> aliveListener;

	/**
	 * Creates the exchange and starts it.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param registry the known crashes
	 * @param aliveListener called with endpoints that turn out to be alive
	 */
	CrashExchange(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, CrashRegistry registry,
			Consumer<EndpointStart> aliveListener) {
		this.network = network;
		this.registry = registry;
		this.aliveListener = aliveListener;
		this.gossip = new FleetGossip<>(scheduler, network, routes, CrashUpdate.class, this);
	}

	/**
	 * Registers this package's peer messages.
	 * @param builder the message catalog
	 */
	static void register(MessageCatalog.Builder builder) {
		builder.add(105, CrashUpdate.class, "CrashesTold");
	}

	/**
	 * Broadcasts all known crashes of a request, since peers may have missed earlier
	 * reports.
	 * @param request the request
	 */
	void crashed(RequestDigest request) {
		this.gossip.publish(new CrashUpdate(crashes(request, this.registry.endpoints(request)), List.of(), List.of()));
	}

	void cleared(RequestDigest request) {
		this.gossip.publish(new CrashUpdate(List.of(), List.of(request.value()), List.of()));
	}

	void retractCrashes(EndpointStart endpoint) {
		this.gossip.publish(new CrashUpdate(List.of(), List.of(), List.of(endpoint.toString())));
	}

	@Override
	public Optional<CrashUpdate> digest() {
		List<CrashUpdate.Crash> repeated = this.registry.crashesToRepeat(MAX_REPEATED);
		return repeated.isEmpty() ? Optional.empty() : Optional.of(new CrashUpdate(repeated, List.of(), List.of()));
	}

	@Override
	public Optional<CrashUpdate> merge(Incarnation from, CrashUpdate message) {
		sendMissing(from, orEmpty(message.crashes()));
		List<CrashUpdate.Crash> crashes = new ArrayList<>(orEmpty(message.crashes()));
		crashes.removeIf((crash) -> !this.registry.crashed(new RequestDigest(crash.request()),
				EndpointStart.parse(crash.endpoint())));
		List<String> cleared = new ArrayList<>(orEmpty(message.cleared()));
		cleared.removeIf((request) -> !this.registry.clear(new RequestDigest(request)));
		List<String> living = new ArrayList<>(orEmpty(message.living()));
		living.forEach((endpoint) -> this.aliveListener.accept(EndpointStart.parse(endpoint)));
		living.removeIf((endpoint) -> !this.registry.retractCrashes(EndpointStart.parse(endpoint)));
		boolean changed = !crashes.isEmpty() || !cleared.isEmpty() || !living.isEmpty();
		return changed ? Optional.of(new CrashUpdate(crashes, cleared, living)) : Optional.empty();
	}

	/**
	 * Sends a peer what it is missing about the requests in its message: further crashes,
	 * or that the request has run to completion after the reported ones.
	 * @param from the peer
	 * @param reported the crashes that it reported
	 */
	private void sendMissing(Incarnation from, List<CrashUpdate.Crash> reported) {
		Map<RequestDigest, Set<EndpointStart>> missing = new LinkedHashMap<>();
		Set<String> cleared = new HashSet<>();
		for (CrashUpdate.Crash crash : reported) {
			RequestDigest request = new RequestDigest(crash.request());
			if (this.registry.cleared(request, EndpointStart.parse(crash.endpoint()))) {
				cleared.add(crash.request());
			}
			missing.computeIfAbsent(request, (key) -> new HashSet<>(this.registry.endpoints(key)))
				.remove(EndpointStart.parse(crash.endpoint()));
		}
		List<CrashUpdate.Crash> crashes = new ArrayList<>();
		missing.forEach((request, endpoints) -> crashes.addAll(crashes(request, endpoints)));
		if (!crashes.isEmpty() || !cleared.isEmpty()) {
			this.network.send(from.vm(), new CrashUpdate(crashes, List.copyOf(cleared), List.of()));
		}
	}

	private static List<CrashUpdate.Crash> crashes(RequestDigest request, Set<EndpointStart> endpoints) {
		return endpoints.stream()
			.map((endpoint) -> new CrashUpdate.Crash(request.value(), endpoint.toString()))
			.toList();
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? list : List.of();
	}

}
