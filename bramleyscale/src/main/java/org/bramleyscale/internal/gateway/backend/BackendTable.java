package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Clock;

/**
 * The table of endpoints that may be sent requests.
 *
 * <p>
 * Invariants: an endpoint that is draining, according to its entry or its own answers, is
 * never offered, whatever later copies of its entry say, because the list is stale while
 * the store is unavailable. An endpoint that was removed from the list is no longer
 * offered, with one exception. During an outage the platform's store drops the entries of
 * live endpoints, and they return within about two seconds of its recovery. If such
 * removals took effect at once, every outage would be followed by seconds in which no
 * endpoint is known. A removal that arrives shortly after an outage therefore takes
 * effect only if the entry is still missing when {@link #LAPSE_GRACE_PERIOD} has passed
 * since the end of the outage. Confined to the scheduler's thread.
 */
public final class BackendTable implements EndpointPresence {

	/**
	 * Time that endpoints need to return to the list after an outage, as documented by
	 * the platform.
	 */
	public static final Duration LAPSE_GRACE_PERIOD = Duration.ofSeconds(2);

	/**
	 * Time after which the platform has removed the entry of an endpoint that is gone:
	 * three heartbeats, of up to three seconds.
	 */
	public static final Duration REMOVAL_PERIOD = Duration.ofSeconds(10);

	/**
	 * Maximum number of leaving starts that are kept. They are kept after their removal
	 * from the list, because their entries may return.
	 */
	private static final int MAX_LEAVING = 10_000;

	private final Clock clock;

	private final DecisionLog log;

	private final Map<EndpointId, Backend> backends = new HashMap<>();

	private final Set<EndpointStart> leaving = new LinkedHashSet<>();

	private final Map<EndpointId, Long> lapsedUntil = new HashMap<>();

	private final Map<EndpointId, Withheld> withheld = new HashMap<>();

	private final Map<ServiceName, List<Backend>> usable = new HashMap<>();

	private Consumer<EndpointStart> endListener = (start) -> {
	};

	public BackendTable(Clock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Sets the listener that is notified when a start ends without having drained.
	 * @param listener the listener
	 */
	public void onUnplannedEnd(Consumer<EndpointStart> listener) {
		this.endListener = listener;
	}

	/**
	 * Adds or updates an entry.
	 * @param entry the entry
	 */
	public void put(Backend entry) {
		this.withheld.remove(entry.id());
		Backend backend = this.leaving.contains(entry.start()) ? entry.drained() : entry;
		this.lapsedUntil.remove(backend.id());
		Backend previous = this.backends.put(backend.id(), backend);
		if (!backend.equals(previous)) {
			this.log.belief("endpoint", backend.start(), "draining", backend.draining(), "address", backend.address(),
					"service", backend.service());
			rebuildUsable();
		}
		if (previous != null && !previous.start().equals(backend.start())) {
			this.endListener.accept(previous.start());
		}
	}

	/**
	 * Adds an entry only if it stays on the list for as long as the platform needs to
	 * remove that of an endpoint that is gone.
	 * @param entry the entry
	 */
	public void putIfItStays(Backend entry) {
		this.withheld.put(entry.id(), new Withheld(entry, this.clock.nanos() + REMOVAL_PERIOD.toNanos()));
		this.log.belief("endpoint", entry.start(), "withheld", true, "reason", "gone before the store came back");
	}

	@Override
	public void announceLeaving(EndpointStart endpoint) {
		markLeaving(endpoint, "its answer");
	}

	/**
	 * Records that an endpoint has announced that it is leaving.
	 * @param endpoint the endpoint
	 * @param source the source of the announcement, for the log
	 * @return true if this wasn't known before
	 */
	boolean markLeaving(EndpointStart endpoint, Object source) {
		if (!this.leaving.add(endpoint)) {
			return false;
		}
		if (this.leaving.size() > MAX_LEAVING) {
			this.leaving.remove(this.leaving.iterator().next());
		}
		this.log.belief("endpoint", endpoint, "leaving", true, "from", source);
		Backend known = this.backends.get(endpoint.id());
		if (known != null && known.start().equals(endpoint) && !known.draining()) {
			this.backends.put(endpoint.id(), known.drained());
			rebuildUsable();
		}
		return true;
	}

	/**
	 * The listed endpoints that have announced that they are leaving.
	 * @return the endpoints
	 */
	List<Backend> leaving() {
		return this.backends.values().stream().filter((backend) -> this.leaving.contains(backend.start())).toList();
	}

	/**
	 * Removes an entry that is no longer on the list, after an outage only once the grace
	 * period since its end is over.
	 * @param id the entry's id
	 * @param sinceOutage the time since the store became available again
	 */
	public void remove(EndpointId id, Duration sinceOutage) {
		this.withheld.remove(id);
		Backend backend = this.backends.get(id);
		if (backend == null) {
			return;
		}
		Duration grace = LAPSE_GRACE_PERIOD.minus(sinceOutage);
		if (grace.compareTo(Duration.ZERO) > 0 && !backend.draining()) {
			this.lapsedUntil.putIfAbsent(id, this.clock.nanos() + grace.toNanos());
			this.log.belief("endpoint", id, "lapsed", true);
			return;
		}
		removeEntry(id, "off the list");
	}

	/**
	 * Removes an entry that can't be used any more, without a grace period.
	 * @param id the entry's id
	 */
	public void removeAtOnce(EndpointId id) {
		remove(id, LAPSE_GRACE_PERIOD);
	}

	/**
	 * Removes the endpoints that didn't return within the grace period, and adds those
	 * that were withheld and stayed on the list; called a few times a second.
	 */
	public void expire() {
		long now = this.clock.nanos();
		List<EndpointId> expired = this.lapsedUntil.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue() >= 0)
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach((id) -> removeEntry(id, "lapsed and not back"));
		this.withheld.values()
			.stream()
			.filter((each) -> now - each.until() >= 0)
			.map(Withheld::entry)
			.toList()
			.forEach(this::put);
	}

	/**
	 * The endpoints of a service that may be sent new requests, sorted by id.
	 * @param service the service
	 * @return the endpoints
	 */
	public List<Backend> usable(ServiceName service) {
		return this.usable.getOrDefault(service, List.of());
	}

	/**
	 * The services that have endpoints which may be sent new requests.
	 * @return the services
	 */
	public Set<ServiceName> services() {
		return Collections.unmodifiableSet(this.usable.keySet());
	}

	public Collection<Backend> all() {
		return Collections.unmodifiableCollection(this.backends.values());
	}

	@Override
	public boolean acceptsRequests(Backend backend) {
		Backend current = this.backends.get(backend.id());
		return current != null && current.start().equals(backend.start()) && !current.draining();
	}

	/**
	 * Whether an endpoint has restarted.
	 * @param backend the endpoint as last known
	 * @return true if the list names another start of it; false also if it isn't on the
	 * list
	 */
	public boolean hasRestarted(Backend backend) {
		Backend current = this.backends.get(backend.id());
		return current != null && !current.start().equals(backend.start());
	}

	private void removeEntry(EndpointId id, String reason) {
		this.lapsedUntil.remove(id);
		Backend removed = this.backends.remove(id);
		this.log.belief("endpoint", id, "gone", true, "reason", reason);
		rebuildUsable();
		if (!removed.draining()) {
			this.endListener.accept(removed.start());
		}
	}

	private void rebuildUsable() {
		Map<String, Backend> sorted = new TreeMap<>();
		this.backends.values().forEach((backend) -> sorted.put(backend.id().value(), backend));
		Map<ServiceName, List<Backend>> byService = new LinkedHashMap<>();
		sorted.values()
			.stream()
			.filter((backend) -> !backend.draining())
			.forEach((backend) -> byService.computeIfAbsent(backend.service(), (service) -> new ArrayList<>())
				.add(backend));
		this.usable.clear();
		byService.forEach((service, list) -> this.usable.put(service, withoutForeignEntries(list)));
	}

	/**
	 * Omits entries without a start time if most entries of the service have one: such
	 * entries weren't written by endpoints of the platform. On a platform that provides
	 * no start times, entries without one are valid.
	 * @param entries the entries of a service
	 * @return the valid entries
	 */
	private static List<Backend> withoutForeignEntries(List<Backend> entries) {
		List<Backend> withStart = entries.stream().filter((backend) -> backend.start().hasKnownStart()).toList();
		return (2 * withStart.size() > entries.size()) ? withStart : List.copyOf(entries);
	}

	/**
	 * An entry that isn't believed yet.
	 *
	 * @param entry the entry
	 * @param until when it is believed if it is still listed
	 */
	private record Withheld(Backend entry, long until) {
	}

}
