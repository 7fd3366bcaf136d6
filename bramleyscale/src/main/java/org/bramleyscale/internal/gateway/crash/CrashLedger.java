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
 * Under which requests endpoints have ended, as far as all daemons told.
 *
 * <p>
 * Whatever runs on an endpoint falls with it, so one crash names many requests and proves
 * nothing. Invariants: an answer clears a request of all crashes and records before it,
 * and keeps it clear for {@link #PROOF_KEPT}; crashes are counted by endpoint, however
 * many daemons tell of them; what is remembered is bounded, and of requests without a
 * record those go first that fell least, the oldest of them before the others. Confined
 * to the scheduler's thread.
 */
final class CrashLedger {

	/** Crashes after which a request is only tried. */
	static final int ACCUSED = 3;

	/**
	 * Trials of one request in the whole fleet. With these a request that an endpoint
	 * could serve has fallen five times in a row before it is given up.
	 */
	static final int MOST_TRIALS = 2;

	/** Requests without a record that are remembered; 200 bytes each. */
	static final int MOST_SUSPECTS = 1_000;

	/** Crashes and records of before an answer have come by then. */
	static final Duration PROOF_KEPT = Duration.ofSeconds(15);

	/** Whoever missed a crash for longer is told when it speaks of the request. */
	static final Duration REPEATED = Duration.ofSeconds(30);

	/** Requests that are remembered as cleared, for crashes that are told late. */
	private static final int MOST_PROOFS = 1_000;

	private final Clock clock;

	private final Map<RequestDigest, Crashes> crashes = new LinkedHashMap<>();

	private final Map<RequestDigest, Recorded> records = new HashMap<>();

	private final Map<RequestDigest, Proof> proofs = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<RequestDigest, Proof> eldest) {
			return size() > MOST_PROOFS;
		}

	};

	CrashLedger(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes that an endpoint ended while a request was there.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @return false if that was known, or is cleared
	 */
	boolean crashed(RequestDigest request, EndpointStart endpoint) {
		if (cleared(request, endpoint)) {
			return false;
		}
		Crashes known = this.crashes.get(request);
		if (known == null) {
			makeRoom();
			known = new Crashes();
			this.crashes.put(request, known);
		}
		boolean added = known.endpoints.add(endpoint);
		known.latest = added ? this.clock.nanos() : known.latest;
		return added;
	}

	/**
	 * Clears a request, which has run to an answer.
	 * @param request the request
	 * @return false if nothing was known of it but that it is clear
	 */
	boolean clear(RequestDigest request) {
		Crashes known = this.crashes.remove(request);
		Recorded record = this.records.remove(request);
		Proof before = this.proofs.get(request);
		if (known != null || record != null || before != null) {
			Set<EndpointStart> all = (known != null) ? known.endpoints : new HashSet<>();
			if (before != null) {
				all.addAll(before.endpoints());
			}
			this.proofs.put(request, new Proof(all, this.clock.nanos()));
		}
		return known != null || record != null;
	}

	/**
	 * Whether a crash was before an answer.
	 * @param request the request
	 * @param endpoint the endpoint that ended
	 * @return true if it doesn't count any more
	 */
	boolean cleared(RequestDigest request, EndpointStart endpoint) {
		Proof proof = this.proofs.get(request);
		return proof != null && proof.endpoints().contains(endpoint);
	}

	/**
	 * Whether a request has just run to an answer.
	 * @param request the request
	 * @return true if it is clear whatever else is said of it
	 */
	boolean proven(RequestDigest request) {
		Proof proof = this.proofs.get(request);
		return proof != null && this.clock.nanos() - proof.at() < PROOF_KEPT.toNanos();
	}

	/**
	 * Takes back what was said of an endpoint that turns out to live.
	 * @param endpoint the endpoint
	 * @return false if nothing was said of it
	 */
	boolean lives(EndpointStart endpoint) {
		boolean known = false;
		for (Crashes each : this.crashes.values()) {
			known |= each.endpoints.remove(endpoint);
		}
		this.crashes.values().removeIf((each) -> each.endpoints.isEmpty());
		return known;
	}

	/**
	 * Takes a request's record from the store.
	 * @param request the request
	 * @param record what stands there
	 * @param version its version
	 */
	void recorded(RequestDigest request, CrashRecord record, long version) {
		Recorded known = this.records.get(request);
		if (known == null || version > known.version()) {
			this.records.put(request, new Recorded(record, version, this.clock.nanos()));
		}
	}

	void recordGone(RequestDigest request) {
		this.records.remove(request);
	}

	Optional<Recorded> record(RequestDigest request) {
		return Optional.ofNullable(this.records.get(request));
	}

	/**
	 * How many endpoints have ended under a request since it was last cleared.
	 * @param request the request
	 * @return the number, as far as known here or in the store
	 */
	int crashes(RequestDigest request) {
		int told = endpoints(request).size();
		Recorded record = this.records.get(request);
		return (record != null) ? Math.max(told, record.record().crashes()) : told;
	}

	/**
	 * The endpoints that have ended under a request, as far as told.
	 * @param request the request
	 * @return a copy
	 */
	Set<EndpointStart> endpoints(RequestDigest request) {
		Crashes known = this.crashes.get(request);
		return (known != null) ? Set.copyOf(known.endpoints) : Set.of();
	}

	/**
	 * Judges a request.
	 * @param request the request
	 * @param unsettled endpoints that may just have ended under it
	 * @return the verdict
	 */
	Verdict verdict(RequestDigest request, int unsettled) {
		if (proven(request)) {
			return Verdict.CLEAR;
		}
		int known = crashes(request);
		Recorded record = this.records.get(request);
		if (record == null && known + unsettled < ACCUSED) {
			return (known + unsettled == 0) ? Verdict.CLEAR : Verdict.SUSPECT;
		}
		if (record != null && !record.trialUnderWay(known, this.clock.nanos())
				&& record.record().trials() >= MOST_TRIALS) {
			return Verdict.DEADLY;
		}
		boolean underWay = record != null && record.trialUnderWay(known, this.clock.nanos());
		return (underWay || unsettled > 0) ? Verdict.WAIT : Verdict.TRIAL;
	}

	/**
	 * The crashes of those requests under which most endpoints have ended, of those that
	 * have no record and were last told of within {@link #REPEATED}.
	 * @param most how many crashes at most
	 * @return the crashes
	 */
	List<CrashesTold.Crash> worst(int most) {
		List<RequestDigest> requests = new ArrayList<>(this.crashes.keySet());
		long now = this.clock.nanos();
		requests.removeIf((request) -> this.records.containsKey(request)
				|| now - this.crashes.get(request).latest > REPEATED.toNanos());
		requests.sort(Comparator.comparingInt((request) -> -this.crashes.get(request).endpoints.size()));
		List<CrashesTold.Crash> worst = new ArrayList<>();
		for (RequestDigest request : requests) {
			for (EndpointStart endpoint : this.crashes.get(request).endpoints) {
				if (worst.size() == most) {
					return worst;
				}
				worst.add(new CrashesTold.Crash(request.value(), endpoint.toString()));
			}
		}
		return worst;
	}

	/**
	 * Requests that are only tried and have no record yet.
	 * @return a copy
	 */
	List<RequestDigest> unrecorded() {
		return this.crashes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().endpoints.size() >= ACCUSED)
			.map(Map.Entry::getKey)
			.filter((request) -> !this.records.containsKey(request) && !proven(request))
			.toList();
	}

	Collection<RequestDigest> recordedRequests() {
		return this.records.keySet();
	}

	int suspects() {
		return this.crashes.size();
	}

	private void makeRoom() {
		if (this.crashes.size() < MOST_SUSPECTS) {
			return;
		}
		this.crashes.keySet()
			.stream()
			.min(Comparator.comparingInt((request) -> this.crashes.get(request).endpoints.size()))
			.ifPresent(this.crashes::remove);
	}

	/**
	 * The endpoints that ended under a request.
	 */
	private static final class Crashes {

		private final Set<EndpointStart> endpoints = new HashSet<>();

		private long latest;

	}

	/**
	 * That a request has run to an answer.
	 *
	 * @param endpoints endpoints that had ended under it before
	 * @param at when this daemon learnt of it
	 */
	private record Proof(Set<EndpointStart> endpoints, long at) {
	}

	/**
	 * A request's record as it was last read.
	 *
	 * @param record what stands there
	 * @param version its version in the store
	 * @param at when this daemon learnt of it
	 */
	record Recorded(CrashRecord record, long version, long at) {

		/**
		 * Whether a daemon may be trying the request.
		 * @param known endpoints that have ended under it
		 * @param now the time
		 * @return false once another endpoint has ended, or the trial's daemon must have
		 * told how it ended
		 */
		boolean trialUnderWay(int known, long now) {
			return this.record.trying() && known <= this.record.crashes()
					&& now - this.at < CrashRecord.TRIAL_KEPT.toNanos();
		}

	}

}
