package org.bramleyscale.internal.gateway.crash;

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
 * nothing. Invariants: an answer clears a request of all crashes before it; crashes are
 * counted by endpoint, however many daemons tell of them; what is remembered is bounded,
 * and of requests without a record those go first that fell least, the oldest of them
 * before the others. Confined to the scheduler's thread.
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

	/** Requests remembered as cleared, for crashes that are told late. */
	private static final int MOST_CLEARED = 1_000;

	private final Clock clock;

	private final Map<RequestDigest, Set<EndpointStart>> crashes = new LinkedHashMap<>();

	private final Map<RequestDigest, Recorded> records = new HashMap<>();

	private final Map<RequestDigest, Cleared> cleared = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<RequestDigest, Cleared> eldest) {
			return size() > MOST_CLEARED;
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
		Cleared before = this.cleared.get(request);
		if (before != null && before.endpoints().contains(endpoint)) {
			return false;
		}
		Set<EndpointStart> ended = this.crashes.get(request);
		if (ended == null) {
			makeRoom();
			ended = new HashSet<>();
			this.crashes.put(request, ended);
		}
		return ended.add(endpoint);
	}

	/**
	 * Clears a request of all that is known of it.
	 * @param request the request
	 * @param version the version of its record that is cleared, or 0 if it has none
	 * @return false if nothing was known of it
	 */
	boolean clear(RequestDigest request, long version) {
		Set<EndpointStart> ended = this.crashes.remove(request);
		Recorded record = this.records.get(request);
		boolean recorded = record != null && record.version() <= version;
		if (recorded) {
			this.records.remove(request);
		}
		if (ended != null || recorded) {
			this.cleared.put(request, new Cleared((ended != null) ? ended : Set.of(), version));
		}
		return ended != null || recorded;
	}

	/**
	 * Takes back what was said of an endpoint that turns out to live.
	 * @param endpoint the endpoint
	 * @return false if nothing was said of it
	 */
	boolean lives(EndpointStart endpoint) {
		boolean known = false;
		for (Set<EndpointStart> ended : this.crashes.values()) {
			known |= ended.remove(endpoint);
		}
		this.crashes.values().removeIf(Set::isEmpty);
		return known;
	}

	/**
	 * Takes a request's record from the store.
	 * @param request the request
	 * @param record what stands there
	 * @param version its version
	 */
	void recorded(RequestDigest request, CrashRecord record, long version) {
		Cleared before = this.cleared.get(request);
		Recorded known = this.records.get(request);
		boolean old = (before != null && version <= before.version()) || (known != null && version <= known.version());
		if (!old) {
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
		int told = this.crashes.getOrDefault(request, Set.of()).size();
		Recorded record = this.records.get(request);
		return (record != null) ? Math.max(told, record.record().crashes()) : told;
	}

	/**
	 * The endpoints that have ended under a request, as far as told.
	 * @param request the request
	 * @return a copy
	 */
	Set<EndpointStart> endpoints(RequestDigest request) {
		return Set.copyOf(this.crashes.getOrDefault(request, Set.of()));
	}

	/**
	 * Judges a request.
	 * @param request the request
	 * @param unsettled endpoints that may just have ended under it
	 * @return the verdict
	 */
	Verdict verdict(RequestDigest request, int unsettled) {
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
	 * have no record.
	 * @param most how many crashes at most
	 * @return the crashes
	 */
	List<CrashesTold.Crash> worst(int most) {
		List<RequestDigest> requests = new ArrayList<>(this.crashes.keySet());
		requests.removeIf(this.records::containsKey);
		requests.sort(Comparator.comparingInt((request) -> -this.crashes.get(request).size()));
		List<CrashesTold.Crash> worst = new ArrayList<>();
		for (RequestDigest request : requests) {
			for (EndpointStart endpoint : this.crashes.get(request)) {
				if (worst.size() == most) {
					return worst;
				}
				worst.add(new CrashesTold.Crash(request.value(), endpoint.toString()));
			}
		}
		return worst;
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
			.min(Comparator.comparingInt((request) -> this.crashes.get(request).size()))
			.ifPresent(this.crashes::remove);
	}

	/**
	 * What a request was cleared of.
	 *
	 * @param endpoints endpoints that had ended under it
	 * @param version the version of its record, or 0
	 */
	private record Cleared(Set<EndpointStart> endpoints, long version) {
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
