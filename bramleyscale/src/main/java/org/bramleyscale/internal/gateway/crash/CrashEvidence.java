package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * The endpoint crashes that this daemon and its peers have seen, by what the requests in
 * flight may have had in common.
 *
 * <p>
 * A crash fails every request in flight at the endpoint, so a single crash implicates
 * many causes and proves nothing about any of them. Invariants: an answer clears a cause
 * of all earlier crashes; crashes are counted by endpoint, however many daemons report
 * them, and by the moments of {@link CrashMoments}; the evidence is bounded, and evicts
 * the causes with the fewest crashes first, the oldest of these before the others.
 * Confined to the scheduler's thread.
 */
final class CrashEvidence {

	/** Maximum number of causes; 200 bytes each. */
	static final int MAX_SUSPECTS = 4_000;

	/**
	 * How long an answer speaks for a cause. Crash reports and records from before the
	 * answer have arrived by then.
	 */
	static final Duration CLEARANCE_PERIOD = Duration.ofSeconds(15);

	/**
	 * How long after the report of a crash an answer shows that there was none. An
	 * endpoint that has crashed takes longer to start again under its id.
	 */
	static final Duration CONTRADICTION_PERIOD = Duration.ofMillis(1_500);

	/**
	 * How long reports of a retracted crash are ignored. Those that were under way, or
	 * repeated by a peer that hadn't learnt of the retraction, have arrived by then.
	 */
	static final Duration RETRACTION_PERIOD = Duration.ofSeconds(2);

	/**
	 * How long a crash is repeated to peers. A peer that missed it for longer is sent it
	 * in reply to a message that names the cause.
	 */
	static final Duration REPEAT_PERIOD = Duration.ofSeconds(30);

	/**
	 * Maximum number of cleared causes that are kept, for crash reports that arrive late.
	 */
	private static final int MAX_CLEARANCES = 4_000;

	private final Clock clock;

	private final StoredRecords records;

	private final Map<CrashCause, Crashes> crashes = new LinkedHashMap<>();

	private final Map<EndpointStart, Long> reportedAt = new HashMap<>();

	private final Map<EndpointStart, Long> retractedAt = new HashMap<>();

	private final CrashMoments moments;

	private final Map<CrashCause, Clearance> clearances = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<CrashCause, Clearance> eldest) {
			return size() > MAX_CLEARANCES;
		}

	};

	CrashEvidence(Clock clock, StoredRecords records) {
		this.clock = clock;
		this.records = records;
		this.moments = new CrashMoments(clock);
	}

	/**
	 * When endpoints were lost.
	 * @return the times, which may be added to
	 */
	CrashMoments moments() {
		return this.moments;
	}

	/**
	 * Records that an endpoint has just crashed while a request with a cause was in
	 * flight there.
	 * @param cause a cause that the request had
	 * @param endpoint the endpoint
	 * @return false if the crash was known or has been cleared
	 */
	boolean crashed(CrashCause cause, EndpointStart endpoint) {
		return crashed(cause, endpoint, this.clock.nanos());
	}

	/**
	 * Records that an endpoint crashed while a request with a cause was in flight there.
	 * @param cause a cause that the request had
	 * @param endpoint the endpoint
	 * @param at when its connection was lost
	 * @return false if the crash was known or has been cleared
	 */
	boolean crashed(CrashCause cause, EndpointStart endpoint, long at) {
		this.moments.crashed(endpoint, at);
		if (cleared(cause, endpoint)) {
			return false;
		}
		Crashes known = this.crashes.get(cause);
		if (known == null) {
			evictIfFull();
			known = new Crashes();
			this.crashes.put(cause, known);
		}
		boolean added = known.endpoints.add(endpoint);
		if (added) {
			this.reportedAt.put(endpoint, this.clock.nanos());
			known.latestAt = this.clock.nanos();
		}
		return added;
	}

	/**
	 * Clears a cause of its crashes and its record: a request that has it has run to
	 * completion.
	 * @param cause the cause
	 * @return false if neither crashes nor a record were known
	 */
	boolean clear(CrashCause cause) {
		Crashes known = this.crashes.remove(cause);
		boolean recorded = this.records.remove(cause).isPresent();
		Clearance previous = this.clearances.get(cause);
		if (known != null || recorded || previous != null) {
			Set<EndpointStart> endpoints = (known != null) ? new HashSet<>(known.endpoints) : new HashSet<>();
			if (previous != null) {
				endpoints.addAll(previous.endpoints());
			}
			this.clearances.put(cause, new Clearance(endpoints, this.clock.nanos()));
		}
		return known != null || recorded;
	}

	/**
	 * Forgets a cause, as if no endpoint had crashed under it.
	 * @param cause the cause
	 */
	void forget(CrashCause cause) {
		this.crashes.remove(cause);
	}

	/**
	 * Whether a crash preceded an answer that cleared a cause.
	 * @param cause the cause
	 * @param endpoint the endpoint that crashed
	 * @return true if the crash no longer counts
	 */
	boolean cleared(CrashCause cause, EndpointStart endpoint) {
		Clearance clearance = this.clearances.get(cause);
		return clearance != null && clearance.endpoints().contains(endpoint);
	}

	/**
	 * Whether an answer has cleared a cause of crashes within {@link #CLEARANCE_PERIOD}.
	 * @param cause the cause
	 * @return true if it takes more crashes than usual to suspect it
	 */
	boolean recentlyCleared(CrashCause cause) {
		Clearance clearance = this.clearances.get(cause);
		return clearance != null && this.clock.nanos() - clearance.at() < CLEARANCE_PERIOD.toNanos();
	}

	/**
	 * Whether an answer shows that an endpoint has not crashed, whoever reported it.
	 * @param endpoint the endpoint
	 * @param sentAt when the answered request was sent
	 * @return true if a crash of it was reported shortly before the request was sent
	 */
	boolean contradicted(EndpointStart endpoint, long sentAt) {
		Long reported = this.reportedAt.get(endpoint);
		return reported != null && sentAt - reported > 0
				&& this.clock.nanos() - reported < CONTRADICTION_PERIOD.toNanos();
	}

	/**
	 * Removes what answers can't contradict any more; called a few times a second.
	 */
	void expire() {
		long now = this.clock.nanos();
		this.reportedAt.values().removeIf((reported) -> now - reported >= CONTRADICTION_PERIOD.toNanos());
		this.retractedAt.values().removeIf((retracted) -> now - retracted >= RETRACTION_PERIOD.toNanos());
	}

	/**
	 * Whether a peer's report of a crash may have been overtaken by its retraction.
	 * @param endpoint the endpoint
	 * @return true if its crashes were retracted within {@link #RETRACTION_PERIOD}
	 */
	boolean recentlyRetracted(EndpointStart endpoint) {
		return this.retractedAt.containsKey(endpoint);
	}

	/**
	 * Retracts the crashes of an endpoint that turns out to be alive.
	 * @param endpoint the endpoint
	 * @return false if no crash of it was known
	 */
	boolean retractCrashes(EndpointStart endpoint) {
		this.reportedAt.remove(endpoint);
		this.retractedAt.put(endpoint, this.clock.nanos());
		this.moments.retract(endpoint);
		boolean known = false;
		for (Crashes each : this.crashes.values()) {
			known |= each.endpoints.remove(endpoint);
		}
		this.crashes.values().removeIf((each) -> each.endpoints.isEmpty());
		return known;
	}

	/**
	 * The endpoints that have crashed under a cause since it was last cleared, as far as
	 * reported.
	 * @param cause the cause
	 * @return a copy
	 */
	Set<EndpointStart> endpoints(CrashCause cause) {
		Crashes known = this.crashes.get(cause);
		return (known != null) ? Set.copyOf(known.endpoints) : Set.of();
	}

	/**
	 * Counts the endpoints that have crashed under a cause.
	 * @param cause the cause
	 * @return their number
	 */
	int size(CrashCause cause) {
		Crashes known = this.crashes.get(cause);
		return (known != null) ? known.endpoints.size() : 0;
	}

	/**
	 * Counts the crashes under a cause that speak against it.
	 * @param cause the cause
	 * @param explained endpoints that have crashed for another cause
	 * @return the number, as {@link CrashMoments#count} tells
	 */
	int count(CrashCause cause, Predicate<EndpointStart> explained) {
		Crashes known = this.crashes.get(cause);
		if (known == null) {
			return 0;
		}
		return this.moments.count(known.endpoints.stream().filter(explained.negate()).toList());
	}

	/**
	 * The crashes to repeat to peers: of the causes whose latest crash was learnt within
	 * {@link #REPEAT_PERIOD} and that weren't cleared lately, those with the most crashes
	 * first.
	 * @param max the maximum number of crashes
	 * @param known selects the causes that peers know anyway
	 * @return the crashes
	 */
	List<CrashUpdate.Crash> crashesToRepeat(int max, Predicate<CrashCause> known) {
		long now = this.clock.nanos();
		List<CrashCause> causes = new ArrayList<>(this.crashes.keySet());
		causes.removeIf((cause) -> now - this.crashes.get(cause).latestAt > REPEAT_PERIOD.toNanos()
				|| recentlyCleared(cause) || known.test(cause));
		causes.sort(Comparator.comparingInt((cause) -> -this.crashes.get(cause).endpoints.size()));
		List<CrashUpdate.Crash> repeated = new ArrayList<>();
		for (CrashCause cause : causes) {
			for (EndpointStart endpoint : this.crashes.get(cause).endpoints) {
				if (repeated.size() == max) {
					return repeated;
				}
				repeated.add(new CrashUpdate.Crash(cause.value(), endpoint.toString()));
			}
		}
		return repeated;
	}

	/**
	 * The causes that a number of endpoints have crashed under.
	 * @param endpoints the least number of endpoints
	 * @return a copy
	 */
	List<CrashCause> suspects(int endpoints) {
		return this.crashes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().endpoints.size() >= endpoints)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Whether a crash under a cause was learnt of lately.
	 * @param cause the cause
	 * @param time how long ago at most
	 * @return false also if no crash is known
	 */
	boolean crashedWithin(CrashCause cause, Duration time) {
		Crashes known = this.crashes.get(cause);
		return known != null && this.clock.nanos() - known.latestAt < time.toNanos();
	}

	int suspectCount() {
		return this.crashes.size();
	}

	private void evictIfFull() {
		if (this.crashes.size() < MAX_SUSPECTS) {
			return;
		}
		this.crashes.keySet()
			.stream()
			.min(Comparator.comparingInt((cause) -> this.crashes.get(cause).endpoints.size()))
			.ifPresent(this.crashes::remove);
	}

	/**
	 * The endpoints that crashed under a cause, and when this daemon learnt of the last.
	 */
	private static final class Crashes {

		private final Set<EndpointStart> endpoints = new HashSet<>();

		private long latestAt;

	}

	/**
	 * Proof that a request with a cause has run to completion.
	 *
	 * @param endpoints the endpoints that had crashed under it before
	 * @param at when this daemon learnt of the answer
	 */
	private record Clearance(Set<EndpointStart> endpoints, long at) {
	}

}
