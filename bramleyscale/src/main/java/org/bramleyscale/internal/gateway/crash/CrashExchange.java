package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
 * The three crashes after which a cause is sent only as a trial may be seen by three
 * different daemons, and every daemon must know of all three. A daemon broadcasts new
 * reports at once, along the same routes as updates from the store. In addition it
 * repeats the crashes of the causes with the most crashes to one peer after another, for
 * peers that have just started or missed a message. Confined to the scheduler's thread.
 */
final class CrashExchange implements FleetGossip.State<CrashUpdate> {

	/**
	 * Maximum number of crashes in a repeated message: 60 bytes each, 1.2 KB a second.
	 */
	private static final int MAX_REPEATED = 20;

	/** Maximum number of further losses in a message: 40 bytes each. */
	private static final int MAX_LOSSES = 40;

	/** Losses that are found within this time are told in one message. */
	private static final Duration LOSS_DELAY = Duration.ofMillis(10);

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final FleetGossip<CrashUpdate> gossip;

	private final CrashEvidence evidence;

	private final StoredRecords records;

	private final Listener listener;

	private final Set<EndpointStart> untold = new LinkedHashSet<>();

	/**
	 * Creates the exchange and starts it.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param evidence the known crashes
	 * @param records the stored records, whose causes aren't repeated
	 * @param listener called with what peers report
	 */
	CrashExchange(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, CrashEvidence evidence,
			StoredRecords records, Listener listener) {
		this.scheduler = scheduler;
		this.network = network;
		this.evidence = evidence;
		this.records = records;
		this.listener = listener;
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
	 * Broadcasts all known crashes of some causes, since peers may have missed earlier
	 * reports.
	 * @param causes causes under which an endpoint has just crashed
	 * @param cleared those of them that this daemon has cleared of it
	 */
	void crashed(Collection<CrashCause> causes, Collection<CrashCause> cleared) {
		List<CrashUpdate.Crash> crashes = new ArrayList<>();
		causes.forEach((cause) -> crashes.addAll(crashes(cause, this.evidence.endpoints(cause))));
		this.gossip.publish(new CrashUpdate(crashes, values(cleared), List.of(), losses(crashes)));
	}

	/**
	 * Broadcasts soon that an endpoint which ran nothing of this daemon was lost.
	 * @param endpoint the endpoint
	 */
	void lost(EndpointStart endpoint) {
		if (this.untold.isEmpty()) {
			this.scheduler.schedule(LOSS_DELAY, this::tellLosses);
		}
		this.untold.add(endpoint);
	}

	private void tellLosses() {
		List<CrashUpdate.Loss> losses = this.untold.stream().limit(MAX_LOSSES).map(this::loss).toList();
		this.untold.clear();
		this.gossip.publish(new CrashUpdate(List.of(), List.of(), List.of(), losses));
	}

	void cleared(Collection<CrashCause> causes) {
		this.gossip.publish(new CrashUpdate(List.of(), values(causes), List.of(), List.of()));
	}

	void retractCrashes(EndpointStart endpoint) {
		this.gossip.publish(new CrashUpdate(List.of(), List.of(), List.of(endpoint.toString()), List.of()));
	}

	@Override
	public Optional<CrashUpdate> digest() {
		List<CrashUpdate.Crash> repeated = this.evidence.crashesToRepeat(MAX_REPEATED, this.records::contains);
		return repeated.isEmpty() ? Optional.empty()
				: Optional.of(new CrashUpdate(repeated, List.of(), List.of(), losses(repeated)));
	}

	@Override
	public Optional<CrashUpdate> merge(Incarnation from, CrashUpdate message) {
		Map<String, Long> lostAt = new HashMap<>();
		List<CrashUpdate.Loss> lost = new ArrayList<>(orEmpty(message.lost()));
		lost.removeIf((loss) -> this.evidence.recentlyRetracted(EndpointStart.parse(loss.endpoint())));
		lost.forEach((loss) -> lostAt.put(loss.endpoint(), lostAt(loss)));
		lost.removeIf((loss) -> !this.evidence.moments().lost(EndpointStart.parse(loss.endpoint()), lostAt(loss)));
		long now = this.scheduler.nanos();
		sendMissing(from, orEmpty(message.crashes()));
		List<CrashUpdate.Crash> crashes = new ArrayList<>(orEmpty(message.crashes()));
		crashes.removeIf((crash) -> this.evidence.recentlyRetracted(EndpointStart.parse(crash.endpoint())));
		crashes.removeIf((crash) -> !this.evidence.crashed(new CrashCause(crash.request()),
				EndpointStart.parse(crash.endpoint()), lostAt.getOrDefault(crash.endpoint(), now)));
		List<String> cleared = new ArrayList<>(orEmpty(message.cleared()));
		cleared.removeIf((request) -> !this.evidence.clear(new CrashCause(request)));
		List<String> living = new ArrayList<>(orEmpty(message.living()));
		living.forEach((endpoint) -> this.listener.foundAliveByPeer(EndpointStart.parse(endpoint)));
		living.removeIf((endpoint) -> !this.evidence.retractCrashes(EndpointStart.parse(endpoint)));
		if (!crashes.isEmpty()) {
			this.listener
				.reported(crashes.stream().map((crash) -> new CrashCause(crash.request())).distinct().toList());
		}
		boolean changed = !crashes.isEmpty() || !cleared.isEmpty() || !living.isEmpty() || !lost.isEmpty();
		return changed ? Optional.of(new CrashUpdate(crashes, cleared, living, lost)) : Optional.empty();
	}

	private long lostAt(CrashUpdate.Loss loss) {
		return this.scheduler.nanos() - Duration.ofMillis(loss.ageMillis()).toNanos();
	}

	/**
	 * Tells when endpoints were lost, and which others at the same time.
	 * @param crashes the crashes of these endpoints
	 * @return the losses
	 */
	private List<CrashUpdate.Loss> losses(List<CrashUpdate.Crash> crashes) {
		Set<EndpointStart> endpoints = new LinkedHashSet<>();
		crashes.forEach((crash) -> endpoints.add(EndpointStart.parse(crash.endpoint())));
		List<EndpointStart> all = new ArrayList<>(endpoints);
		all.addAll(this.evidence.moments().lostWith(endpoints, MAX_LOSSES));
		return all.stream().map(this::loss).toList();
	}

	private CrashUpdate.Loss loss(EndpointStart endpoint) {
		return new CrashUpdate.Loss(endpoint.toString(), this.evidence.moments().age(endpoint).toMillis());
	}

	/**
	 * Sends a peer what it is missing about the causes in its message: further crashes,
	 * or that a request with the cause has run to completion after the reported ones.
	 * @param from the peer
	 * @param reported the crashes that it reported
	 */
	private void sendMissing(Incarnation from, List<CrashUpdate.Crash> reported) {
		Map<CrashCause, Set<EndpointStart>> missing = new LinkedHashMap<>();
		Set<String> cleared = new HashSet<>();
		for (CrashUpdate.Crash crash : reported) {
			CrashCause cause = new CrashCause(crash.request());
			if (this.evidence.cleared(cause, EndpointStart.parse(crash.endpoint()))) {
				cleared.add(crash.request());
			}
			missing.computeIfAbsent(cause, (key) -> new HashSet<>(this.evidence.endpoints(key)))
				.remove(EndpointStart.parse(crash.endpoint()));
		}
		List<CrashUpdate.Crash> crashes = new ArrayList<>();
		missing.forEach((cause, endpoints) -> crashes.addAll(crashes(cause, endpoints)));
		if (!crashes.isEmpty() || !cleared.isEmpty()) {
			this.network.send(from.vm(), new CrashUpdate(crashes, List.copyOf(cleared), List.of(), losses(crashes)));
		}
	}

	private static List<String> values(Collection<CrashCause> causes) {
		return causes.stream().map(CrashCause::value).toList();
	}

	private static List<CrashUpdate.Crash> crashes(CrashCause cause, Set<EndpointStart> endpoints) {
		return endpoints.stream().map((endpoint) -> new CrashUpdate.Crash(cause.value(), endpoint.toString())).toList();
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? list : List.of();
	}

	/**
	 * Notified of what peers report.
	 */
	interface Listener {

		/**
		 * Called with causes under which peers report new crashes.
		 * @param causes the causes
		 */
		void reported(Collection<CrashCause> causes);

		/**
		 * Called when a peer has had an answer of an endpoint that counted as crashed.
		 * @param endpoint the endpoint
		 */
		void foundAliveByPeer(EndpointStart endpoint);

	}

}
