package org.bramleyscale.internal.gateway.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.internal.admission.TokenBucket;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * The limits that endpoints named, and this daemon's part of each.
 *
 * <p>
 * A limit is used by a few daemons, the first in an order that all work out alike, in
 * equal parts; the others leave the endpoint alone. Invariants: parts begin empty, and
 * hold one request at the most, so that a daemon that takes over for another adds nothing
 * to what that has sent; the parts of all holders add up to less than the limit, so that
 * daemons which disagree on who holds don't exceed it by more than twice. What an
 * endpoint says counts until it says something else, or for {@link #KEPT}. Confined to
 * the scheduler's thread.
 */
final class LimitBook {

	/** An endpoint that nobody has sent anything for so long may have recovered. */
	static final Duration KEPT = Duration.ofSeconds(30);

	/** Daemons that use a limit tell of it again after this, so that it is kept. */
	static final Duration MUCH_FRESHER = KEPT.dividedBy(3);

	/** Membership changes within some hundred ms. */
	private static final Duration RANK_KEPT = Duration.ofMillis(100);

	/**
	 * An endpoint counts what arrives; daemons' views of who holds differ for moments.
	 */
	private static final double USED_PART = 0.75;

	/** One that has just stopped leaves another that hears when the limit ends. */
	private static final int LEAST_HOLDERS = 2;

	/** More than there are daemons. */
	private static final int MOST_HOLDERS = 100_000;

	/** Before any other time, and differences to it still fit. */
	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final LimitHolders holders;

	private final Map<EndpointStart, Limit> limits = new HashMap<>();

	LimitBook(Clock clock, LimitHolders holders) {
		this.clock = clock;
		this.holders = holders;
	}

	/**
	 * Takes what an endpoint said.
	 * @param endpoint the endpoint
	 * @param perSecond the limit, or {@link LimitsTold.Limit#UNLIMITED}
	 * @param at when it said so
	 * @return whether others should hear of it, because it changes what was known or
	 * makes it much fresher
	 */
	boolean says(EndpointStart endpoint, double perSecond, long at) {
		Limit known = this.limits.get(endpoint);
		if (known != null && at - known.saidAt <= 0) {
			return false;
		}
		if (known == null) {
			if (perSecond == LimitsTold.Limit.UNLIMITED || outdated(at)) {
				return false;
			}
			known = new Limit();
			this.limits.put(endpoint, known);
		}
		boolean news = known.perSecond != perSecond || at - known.saidAt > MUCH_FRESHER.toNanos();
		known.perSecond = perSecond;
		known.saidAt = at;
		return news;
	}

	/**
	 * Whether an endpoint is known to name a limit.
	 * @param endpoint the endpoint
	 * @return when it last said so, or empty if it names none
	 */
	Optional<Long> limitedSince(EndpointStart endpoint) {
		return Optional.ofNullable(current(endpoint)).map((limit) -> limit.saidAt);
	}

	/**
	 * Whether this daemon may send a request.
	 * @param endpoint the endpoint
	 * @return true if it names no limit, or this daemon's part of it holds a request
	 */
	boolean open(EndpointStart endpoint) {
		Limit limit = current(endpoint);
		if (limit == null) {
			return true;
		}
		TokenBucket part = part(endpoint, limit);
		return part != null && part.holds(1, this.clock.nanos());
	}

	void sent(EndpointStart endpoint) {
		Limit limit = current(endpoint);
		if (limit != null && limit.part != null) {
			limit.part.take(1);
		}
	}

	void forget(EndpointStart endpoint) {
		this.limits.remove(endpoint);
	}

	/**
	 * Forgets what was said too long ago; called a few times a second.
	 */
	void expire() {
		this.limits.values().removeIf((limit) -> outdated(limit.saidAt));
	}

	/**
	 * What was said of some endpoints.
	 * @param most how many at the most, the newest
	 * @return the limits, those that have ended included
	 */
	List<LimitsTold.Limit> newest(int most) {
		List<LimitsTold.Limit> all = new ArrayList<>();
		this.limits.entrySet()
			.stream()
			.sorted((left, right) -> Long.compare(right.getValue().saidAt, left.getValue().saidAt))
			.limit(most)
			.forEach((entry) -> all.add(told(entry.getKey(), entry.getValue())));
		return all;
	}

	LimitsTold.Limit told(EndpointStart endpoint) {
		return told(endpoint, this.limits.get(endpoint));
	}

	int size() {
		return this.limits.size();
	}

	private LimitsTold.Limit told(EndpointStart endpoint, Limit limit) {
		long age = Duration.ofNanos(this.clock.nanos() - limit.saidAt).toMillis();
		return new LimitsTold.Limit(endpoint.toString(), limit.perSecond, age);
	}

	private Limit current(EndpointStart endpoint) {
		Limit limit = this.limits.get(endpoint);
		boolean limited = limit != null && limit.perSecond != LimitsTold.Limit.UNLIMITED && !outdated(limit.saidAt);
		return limited ? limit : null;
	}

	private boolean outdated(long at) {
		return this.clock.nanos() - at > KEPT.toNanos();
	}

	/**
	 * This daemon's part of a limit.
	 * @param endpoint the endpoint
	 * @param limit its limit
	 * @return the part, or null if other daemons hold it
	 */
	private TokenBucket part(EndpointStart endpoint, Limit limit) {
		int count = LEAST_HOLDERS + (int) Math.min(limit.perSecond, MOST_HOLDERS);
		long now = this.clock.nanos();
		if (now - limit.rankedAt > RANK_KEPT.toNanos()) {
			limit.rank = this.holders.rank(endpoint);
			limit.rankedAt = now;
		}
		if (limit.rank >= count) {
			limit.part = null;
			return null;
		}
		double rate = USED_PART * limit.perSecond / count;
		if (limit.part == null) {
			limit.part = new TokenBucket(rate, 1, now);
			limit.part.take(1);
		}
		limit.part.limit(rate, 1, now);
		return limit.part;
	}

	/**
	 * What one endpoint said, and this daemon's part of it.
	 */
	private static final class Limit {

		private double perSecond;

		private long saidAt = LONG_AGO;

		private int rank;

		private long rankedAt = LONG_AGO;

		private TokenBucket part;

	}

}
