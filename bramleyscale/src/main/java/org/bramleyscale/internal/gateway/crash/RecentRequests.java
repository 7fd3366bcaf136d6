package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.bramleyscale.internal.time.Clock;

/**
 * The requests that this daemon has judged lately.
 *
 * <p>
 * A trial of several suspects at once says nothing about any of them if its endpoint
 * ends, and uses up a trial of each. So a request with several suspects gives way to
 * those that share one of them and have fewer. Bounded; the requests judged longest ago
 * are forgotten first. Confined to the scheduler's thread.
 */
final class RecentRequests {

	/** How long a request counts as one whose like may come again. */
	static final Duration RETENTION = Duration.ofSeconds(5);

	/** How long a request with several suspects waits for another to come. */
	static final Duration FIRST_WAIT = Duration.ofMillis(500);

	private static final int MAX_REQUESTS = 64;

	private final Clock clock;

	private final Map<CrashCause, Seen> requests = new LinkedHashMap<>(MAX_REQUESTS, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<CrashCause, Seen> eldest) {
			return size() > MAX_REQUESTS;
		}

	};

	RecentRequests(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records a request that is judged.
	 * @param causes its causes
	 */
	void judged(CrashCauses causes) {
		long now = this.clock.nanos();
		this.requests.merge(causes.request(), new Seen(causes, now, now),
				(known, judged) -> new Seen(causes, known.firstAt(), now));
	}

	/**
	 * Whether a request with several suspects is to wait for others that would decide
	 * about one of them alone.
	 * @param causes the request's causes
	 * @param suspects those of its causes that would be tried
	 * @param suspectsOf the causes of another request that would be tried
	 * @return true if a request that shares a suspect and has fewer of them has come
	 * lately, or if this one has only just come
	 */
	boolean givesWay(CrashCauses causes, List<CrashCause> suspects,
			Function<CrashCauses, List<CrashCause>> suspectsOf) {
		if (suspects.size() < 2) {
			return false;
		}
		long now = this.clock.nanos();
		Seen own = this.requests.get(causes.request());
		if (own == null || now - own.firstAt() < FIRST_WAIT.toNanos()) {
			return true;
		}
		return this.requests.values()
			.stream()
			.filter((seen) -> now - seen.lastAt() < RETENTION.toNanos())
			.map((seen) -> suspectsOf.apply(seen.causes()))
			.anyMatch((others) -> others.size() < suspects.size() && others.stream().anyMatch(suspects::contains));
	}

	/**
	 * A request.
	 *
	 * @param causes its causes
	 * @param firstAt when it was first judged
	 * @param lastAt when it was last judged
	 */
	private record Seen(CrashCauses causes, long firstAt, long lastAt) {
	}

}
