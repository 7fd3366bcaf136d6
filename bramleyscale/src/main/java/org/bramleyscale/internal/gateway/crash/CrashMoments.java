package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * When endpoints were lost, whatever ran there.
 *
 * <p>
 * An endpoint that runs nothing is lost as well as one that runs a request, but only the
 * latter breaks a connection. A check of one endpoint therefore records all others that
 * refuse connections. Invariants: the earliest known time of a loss counts, however late
 * it is reported; the losses of one moment count as two at most, and as none if more
 * endpoints were lost without the cause, since whatever loses many at once is not what
 * they run. Bounded. Confined to the scheduler's thread.
 */
final class CrashMoments {

	/**
	 * Losses within this time of the first of them are of one moment. Different daemons
	 * notice them, and report them over relays.
	 */
	static final Duration MOMENT = Duration.ofMillis(100);

	/** How many crashes of one moment count. */
	static final int MAX_COUNTED = 2;

	/**
	 * Number of endpoints that are lost in one moment for a reason of their own, unless
	 * half of them ran the same: two causes at once seldom crash as many.
	 */
	static final int MASS_LOSS = 4;

	/**
	 * How long a loss that no request noticed is taken for the time of a later report of
	 * the same endpoint. An endpoint is removed from the list within this time.
	 */
	static final Duration MAX_DELAY = Duration.ofSeconds(6);

	/** Maximum number of endpoints; 100 bytes each. */
	private static final int MAX_ENDPOINTS = 1_000;

	private final Clock clock;

	private final Map<EndpointStart, Loss> losses = new LinkedHashMap<>();

	/** The number of endpoints that were lost at each time. */
	private final NavigableMap<Long, Integer> times = new TreeMap<>();

	CrashMoments(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that an endpoint crashed under a request.
	 * @param endpoint the endpoint
	 * @param at when a daemon noticed it
	 */
	void crashed(EndpointStart endpoint, long at) {
		Loss known = this.losses.get(endpoint);
		if (known == null || !known.crashed()) {
			boolean same = known != null && known.isAbout(at);
			put(endpoint, new Loss(same ? Math.min(at, known.at()) : at, true));
		}
	}

	/**
	 * Records that an endpoint was lost, whether anything ran there or not.
	 * @param endpoint the endpoint
	 * @param at when a daemon noticed it
	 * @return true if its loss wasn't known
	 */
	boolean lost(EndpointStart endpoint, long at) {
		Loss known = this.losses.get(endpoint);
		if (known != null && (known.crashed() || known.isAbout(at))) {
			return false;
		}
		put(endpoint, new Loss(at, false));
		return true;
	}

	/**
	 * Forgets the loss of an endpoint that turns out to be alive.
	 * @param endpoint the endpoint
	 */
	void retract(EndpointStart endpoint) {
		Loss known = this.losses.remove(endpoint);
		if (known != null) {
			this.times.computeIfPresent(known.at(), (at, count) -> (count > 1) ? count - 1 : null);
		}
	}

	/**
	 * Forgets the loss of an endpoint that has answered after it.
	 * @param endpoint the endpoint
	 * @param sentAt when the answered request was sent
	 */
	void answered(EndpointStart endpoint, long sentAt) {
		Loss known = this.losses.get(endpoint);
		if (known != null && sentAt - known.at() > 0) {
			retract(endpoint);
		}
	}

	private void put(EndpointStart endpoint, Loss loss) {
		retract(endpoint);
		this.losses.put(endpoint, loss);
		this.times.merge(loss.at(), 1, Integer::sum);
		if (this.losses.size() > MAX_ENDPOINTS) {
			retract(this.losses.keySet().iterator().next());
		}
	}

	/**
	 * How long ago an endpoint was lost.
	 * @param endpoint the endpoint
	 * @return the time, zero if its loss isn't known
	 */
	Duration age(EndpointStart endpoint) {
		Loss known = this.losses.get(endpoint);
		return (known != null) ? Duration.ofNanos(this.clock.nanos() - known.at()) : Duration.ZERO;
	}

	/**
	 * The endpoints that were lost at the same moments as some others.
	 * @param endpoints the others
	 * @param max the maximum number
	 * @return a copy, without the others
	 */
	List<EndpointStart> lostWith(Collection<EndpointStart> endpoints, int max) {
		List<Loss> others = endpoints.stream().filter(this.losses::containsKey).map(this.losses::get).toList();
		List<EndpointStart> found = new ArrayList<>();
		this.losses.forEach((endpoint, loss) -> {
			boolean together = others.stream().anyMatch((other) -> Math.abs(other.at() - loss.at()) < MOMENT.toNanos());
			if (found.size() < max && together && !endpoints.contains(endpoint)) {
				found.add(endpoint);
			}
		});
		return found;
	}

	/**
	 * Counts the crashes of endpoints that speak against what ran there.
	 * @param endpoints the endpoints
	 * @return the number, in which a moment counts as {@link #MAX_COUNTED} at most, and a
	 * mass loss that hit more other endpoints not at all; endpoints whose loss has been
	 * forgotten count as of one moment
	 */
	int count(Collection<EndpointStart> endpoints) {
		long[] known = endpoints.stream()
			.filter(this.losses::containsKey)
			.mapToLong((endpoint) -> this.losses.get(endpoint).at())
			.sorted()
			.toArray();
		int count = Math.min(endpoints.size() - known.length, MAX_COUNTED);
		int first = 0;
		for (int i = 1; i <= known.length; i++) {
			if (i == known.length || known[i] - known[first] >= MOMENT.toNanos()) {
				count += countOfMoment(known[first], i - first);
				first = i;
			}
		}
		return count;
	}

	private int countOfMoment(long start, int crashes) {
		int lost = this.times.subMap(start, start + MOMENT.toNanos())
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.sum();
		return (lost >= MASS_LOSS && lost > 2 * crashes) ? 0 : Math.min(crashes, MAX_COUNTED);
	}

	/**
	 * The loss of an endpoint.
	 *
	 * @param at when it was noticed
	 * @param crashed whether a request ran there
	 */
	private record Loss(long at, boolean crashed) {

		// Whether a report of a loss at another time is of this loss.
		private boolean isAbout(long time) {
			return Math.abs(time - this.at) < MAX_DELAY.toNanos();
		}

	}

}
