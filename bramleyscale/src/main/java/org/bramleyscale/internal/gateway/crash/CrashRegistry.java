package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * Registry of the endpoint crashes that this daemon and its peers have seen, by the
 * requests that were in flight.
 *
 * <p>
 * A crash fails every request in flight at the endpoint, so a single crash implicates
 * many requests and proves nothing about any of them. Invariants: an answer clears a
 * request of all earlier crashes and records, and keeps it clear for
 * {@link #CLEARANCE_PERIOD}; crashes are counted by endpoint, however many daemons report
 * them; the registry is bounded, and evicts requests without a record by fewest crashes
 * first, the oldest of these before the others. Confined to the scheduler's thread.
 */
final class CrashRegistry {

	/** Number of crashes from which on a request is sent only as a trial. */
	static final int TRIAL_THRESHOLD = 3;

	/**
	 * Maximum number of trials of one request in the whole fleet. A request that an
	 * endpoint could serve has thus met five crashes in a row before it is refused.
	 */
	static final int MAX_TRIALS = 2;

	/** Maximum number of requests without a record; 200 bytes each. */
	static final int MAX_SUSPECTS = 1_000;

	/**
	 * How long a request stays clear after an answer. Crash reports and records from
	 * before the answer have arrived by then.
	 */
	static final Duration CLEARANCE_PERIOD = Duration.ofSeconds(15);

	/**
	 * How long after the report of a crash an answer shows that there was none. An
	 * endpoint that has crashed takes longer to start again under its id.
	 */
	static final Duration CONTRADICTION_PERIOD = Duration.ofMillis(1_500);

	/**
	 * How long a crash is repeated to peers. A peer that missed it for longer is sent it
	 * in reply to a message that names the request.
	 */
	static final Duration REPEAT_PERIOD = Duration.ofSeconds(30);

	/**
	 * Maximum number of cleared requests that are kept, for crash reports that arrive
	 * late.
	 */
	private static final int MAX_CLEARANCES = 1_000;

	private final Clock clock;

	private final Map<RequestDigest, Crashes> crashes = new LinkedHashMap<>();

	private final Map<EndpointStart, Long> reportedAt = new HashMap<>();

	private final Map<RequestDigest, StoredRecord> records = new HashMap<>();

	private final Map<RequestDigest, Clearance> clearances = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<RequestDigest, Clearance> eldest) {
			return size() > MAX_CLEARANCES;
		}

	};

	CrashRegistry(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that an endpoint crashed while a request was in flight there.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @return false if the crash was known or has been cleared
	 */
	boolean crashed(RequestDigest request, EndpointStart endpoint) {
		if (cleared(request, endpoint)) {
			return false;
		}
		Crashes known = this.crashes.get(request);
		if (known == null) {
			evictIfFull();
			known = new Crashes();
			this.crashes.put(request, known);
		}
		boolean added = known.endpoints.add(endpoint);
		if (added) {
			this.reportedAt.put(endpoint, this.clock.nanos());
		}
		known.latestAt = added ? this.clock.nanos() : known.latestAt;
		return added;
	}

	/**
	 * Clears a request that has run to completion.
	 * @param request the request
	 * @return false if neither crashes nor a record of it were known
	 */
	boolean clear(RequestDigest request) {
		Crashes known = this.crashes.remove(request);
		StoredRecord record = this.records.remove(request);
		Clearance previous = this.clearances.get(request);
		if (known != null || record != null || previous != null) {
			Set<EndpointStart> endpoints = (known != null) ? known.endpoints : new HashSet<>();
			if (previous != null) {
				endpoints.addAll(previous.endpoints());
			}
			this.clearances.put(request, new Clearance(endpoints, this.clock.nanos()));
		}
		return known != null || record != null;
	}

	/**
	 * Whether a crash preceded an answer to the request.
	 * @param request the request
	 * @param endpoint the endpoint that crashed
	 * @return true if the crash no longer counts
	 */
	boolean cleared(RequestDigest request, EndpointStart endpoint) {
		Clearance clearance = this.clearances.get(request);
		return clearance != null && clearance.endpoints().contains(endpoint);
	}

	/**
	 * Whether a request has run to completion within {@link #CLEARANCE_PERIOD}.
	 * @param request the request
	 * @return true if it is clear whatever crashes are reported
	 */
	boolean recentlyCleared(RequestDigest request) {
		Clearance clearance = this.clearances.get(request);
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
	}

	/**
	 * Retracts the crashes of an endpoint that turns out to be alive.
	 * @param endpoint the endpoint
	 * @return false if no crash of it was known
	 */
	boolean retractCrashes(EndpointStart endpoint) {
		this.reportedAt.remove(endpoint);
		boolean known = false;
		for (Crashes each : this.crashes.values()) {
			known |= each.endpoints.remove(endpoint);
		}
		this.crashes.values().removeIf((each) -> each.endpoints.isEmpty());
		return known;
	}

	/**
	 * Stores a request's record as read from the platform's store, unless a newer version
	 * is known.
	 * @param request the request
	 * @param record the record
	 * @param version its version
	 */
	void putRecord(RequestDigest request, CrashRecord record, long version) {
		StoredRecord known = this.records.get(request);
		if (known == null || version > known.version()) {
			this.records.put(request, new StoredRecord(record, version, this.clock.nanos()));
		}
	}

	void removeRecord(RequestDigest request) {
		this.records.remove(request);
	}

	Optional<StoredRecord> record(RequestDigest request) {
		return Optional.ofNullable(this.records.get(request));
	}

	/**
	 * Counts the endpoints that have crashed while running a request since it was last
	 * cleared.
	 * @param request the request
	 * @return the larger of the numbers known here and in the store
	 */
	int crashes(RequestDigest request) {
		int reported = endpoints(request).size();
		StoredRecord record = this.records.get(request);
		return (record != null) ? Math.max(reported, record.record().crashes()) : reported;
	}

	/**
	 * The endpoints that have crashed while running a request, as far as reported.
	 * @param request the request
	 * @return a copy
	 */
	Set<EndpointStart> endpoints(RequestDigest request) {
		Crashes known = this.crashes.get(request);
		return (known != null) ? Set.copyOf(known.endpoints) : Set.of();
	}

	/**
	 * Decides whether a request may be sent.
	 * @param request the request
	 * @param pendingChecks endpoints that may have crashed under it and are being checked
	 * @return the verdict
	 */
	Verdict verdict(RequestDigest request, int pendingChecks) {
		if (recentlyCleared(request)) {
			return Verdict.CLEAR;
		}
		int known = crashes(request);
		StoredRecord record = this.records.get(request);
		if (record == null && known + pendingChecks < TRIAL_THRESHOLD) {
			return (known + pendingChecks == 0) ? Verdict.CLEAR : Verdict.SUSPECT;
		}
		if (record != null && !record.trialInProgress(known, this.clock.nanos())
				&& record.record().trials() >= MAX_TRIALS) {
			return Verdict.BLOCKED;
		}
		boolean inProgress = record != null && record.trialInProgress(known, this.clock.nanos());
		return (inProgress || pendingChecks > 0) ? Verdict.WAIT : Verdict.TRIAL;
	}

	/**
	 * The crashes to repeat to peers: of the requests that have no record and whose
	 * latest crash was learnt within {@link #REPEAT_PERIOD}, those with the most crashes
	 * first.
	 * @param max the maximum number of crashes
	 * @return the crashes
	 */
	List<CrashUpdate.Crash> crashesToRepeat(int max) {
		List<RequestDigest> requests = new ArrayList<>(this.crashes.keySet());
		long now = this.clock.nanos();
		requests.removeIf((request) -> this.records.containsKey(request)
				|| now - this.crashes.get(request).latestAt > REPEAT_PERIOD.toNanos());
		requests.sort(Comparator.comparingInt((request) -> -this.crashes.get(request).endpoints.size()));
		List<CrashUpdate.Crash> repeated = new ArrayList<>();
		for (RequestDigest request : requests) {
			for (EndpointStart endpoint : this.crashes.get(request).endpoints) {
				if (repeated.size() == max) {
					return repeated;
				}
				repeated.add(new CrashUpdate.Crash(request.value(), endpoint.toString()));
			}
		}
		return repeated;
	}

	/**
	 * Requests that are sent only as trials and have no record yet.
	 * @return a copy
	 */
	List<RequestDigest> unrecorded() {
		return this.crashes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().endpoints.size() >= TRIAL_THRESHOLD)
			.map(Map.Entry::getKey)
			.filter((request) -> !this.records.containsKey(request) && !recentlyCleared(request))
			.toList();
	}

	Collection<RequestDigest> recordedRequests() {
		return this.records.keySet();
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
			.min(Comparator.comparingInt((request) -> this.crashes.get(request).endpoints.size()))
			.ifPresent(this.crashes::remove);
	}

	/**
	 * The endpoints that crashed while running a request.
	 */
	private static final class Crashes {

		private final Set<EndpointStart> endpoints = new HashSet<>();

		private long latestAt;

	}

	/**
	 * Proof that a request has run to completion.
	 *
	 * @param endpoints the endpoints that had crashed under it before
	 * @param at when this daemon learnt of the answer
	 */
	private record Clearance(Set<EndpointStart> endpoints, long at) {
	}

	/**
	 * A request's record as it was last read or written.
	 *
	 * @param record the record
	 * @param version its version in the store
	 * @param at when this daemon read or wrote it
	 */
	record StoredRecord(CrashRecord record, long version, long at) {

		/**
		 * Whether a trial of the request may be in progress.
		 * @param known the number of endpoints that have crashed under it
		 * @param now the time
		 * @return false once another endpoint has crashed or the trial has timed out
		 */
		boolean trialInProgress(int known, long now) {
			return this.record.trying() && known <= this.record.crashes()
					&& now - this.at < CrashRecord.TRIAL_TIMEOUT.toNanos();
		}

	}

}
