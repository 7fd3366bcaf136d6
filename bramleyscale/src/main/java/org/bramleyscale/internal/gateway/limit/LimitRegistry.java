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
 * Registry of the limits that endpoints named, and of this daemon's share of each.
 *
 * <p>
 * A limit is divided into equal shares among a few holders, the first daemons in an order
 * that all daemons compute alike; the others send the endpoint no requests. Invariants: a
 * share starts empty and holds at most one request, so that a daemon that replaces
 * another as holder adds nothing to the requests that the other has sent; the shares of
 * all holders add up to less than the limit, so that daemons that disagree about the
 * holders don't exceed it by more than twice. A reported limit is valid until the
 * endpoint reports another, or for {@link #RETENTION}. Confined to the scheduler's
 * thread.
 */
final class LimitRegistry {

	/**
	 * How long a limit is kept; an endpoint that was sent nothing for this time may have
	 * recovered.
	 */
	static final Duration RETENTION = Duration.ofSeconds(30);

	/**
	 * Period after which holders broadcast an unchanged limit again, so that peers keep
	 * it.
	 */
	static final Duration REFRESH_PERIOD = RETENTION.dividedBy(3);

	/** How long a rank is cached; membership changes take some hundred ms. */
	private static final Duration RANK_CACHE_PERIOD = Duration.ofMillis(100);

	/**
	 * Fraction of a limit that is used. The endpoint counts requests as they arrive, and
	 * daemons may briefly disagree about the holders.
	 */
	private static final double USED_FRACTION = 0.75;

	/**
	 * Minimum number of holders: if one has just stopped, another still learns when the
	 * limit ends.
	 */
	private static final int MIN_HOLDERS = 2;

	/** Upper bound of the number of holders, larger than any fleet. */
	private static final int MAX_HOLDERS = 100_000;

	/** Earlier than any clock reading, without overflow in differences to it. */
	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final LimitHolders holders;

	private final Map<EndpointStart, Limit> limits = new HashMap<>();

	LimitRegistry(Clock clock, LimitHolders holders) {
		this.clock = clock;
		this.holders = holders;
	}

	/**
	 * Updates the limit of an endpoint.
	 * @param endpoint the endpoint
	 * @param perSecond the limit, or {@link LimitsUpdate.Limit#UNLIMITED}
	 * @param at when the endpoint reported it
	 * @return whether to broadcast the update, because the limit has changed or was last
	 * reported more than {@link #REFRESH_PERIOD} earlier
	 */
	boolean update(EndpointStart endpoint, double perSecond, long at) {
		Limit known = this.limits.get(endpoint);
		if (known != null && at - known.reportedAt <= 0) {
			return false;
		}
		if (known == null) {
			if (perSecond == LimitsUpdate.Limit.UNLIMITED || expired(at)) {
				return false;
			}
			known = new Limit();
			this.limits.put(endpoint, known);
		}
		boolean changed = known.perSecond != perSecond || at - known.reportedAt > REFRESH_PERIOD.toNanos();
		known.perSecond = perSecond;
		known.reportedAt = at;
		return changed;
	}

	/**
	 * The time at which an endpoint last named its limit.
	 * @param endpoint the endpoint
	 * @return the time, or empty if it isn't known to name a limit
	 */
	Optional<Long> lastReported(EndpointStart endpoint) {
		return Optional.ofNullable(current(endpoint)).map((limit) -> limit.reportedAt);
	}

	/**
	 * Whether this daemon may send a request to an endpoint.
	 * @param endpoint the endpoint
	 * @return true if it names no limit, or this daemon's share of it permits a request
	 */
	boolean permits(EndpointStart endpoint) {
		Limit limit = current(endpoint);
		if (limit == null) {
			return true;
		}
		TokenBucket share = share(endpoint, limit);
		return share != null && share.canTake(1, this.clock.nanos());
	}

	void sent(EndpointStart endpoint) {
		Limit limit = current(endpoint);
		if (limit != null && limit.share != null) {
			limit.share.take(1);
		}
	}

	void remove(EndpointStart endpoint) {
		this.limits.remove(endpoint);
	}

	/**
	 * Removes expired limits; called about once a second.
	 */
	void expire() {
		this.limits.values().removeIf((limit) -> expired(limit.reportedAt));
	}

	/**
	 * The most recently reported limits, including those that have ended.
	 * @param max the maximum number of limits
	 * @return the limits, newest first
	 */
	List<LimitsUpdate.Limit> newest(int max) {
		List<LimitsUpdate.Limit> all = new ArrayList<>();
		this.limits.entrySet()
			.stream()
			.sorted((left, right) -> Long.compare(right.getValue().reportedAt, left.getValue().reportedAt))
			.limit(max)
			.forEach((entry) -> all.add(toMessage(entry.getKey(), entry.getValue())));
		return all;
	}

	LimitsUpdate.Limit toMessage(EndpointStart endpoint) {
		return toMessage(endpoint, this.limits.get(endpoint));
	}

	int size() {
		return this.limits.size();
	}

	private LimitsUpdate.Limit toMessage(EndpointStart endpoint, Limit limit) {
		long age = Duration.ofNanos(this.clock.nanos() - limit.reportedAt).toMillis();
		return new LimitsUpdate.Limit(endpoint.toString(), limit.perSecond, age);
	}

	private Limit current(EndpointStart endpoint) {
		Limit limit = this.limits.get(endpoint);
		boolean limited = limit != null && limit.perSecond != LimitsUpdate.Limit.UNLIMITED
				&& !expired(limit.reportedAt);
		return limited ? limit : null;
	}

	private boolean expired(long at) {
		return this.clock.nanos() - at > RETENTION.toNanos();
	}

	/**
	 * This daemon's share of a limit.
	 * @param endpoint the endpoint
	 * @param limit its limit
	 * @return the share, or null if this daemon isn't a holder
	 */
	private TokenBucket share(EndpointStart endpoint, Limit limit) {
		int count = MIN_HOLDERS + (int) Math.min(limit.perSecond, MAX_HOLDERS);
		long now = this.clock.nanos();
		if (now - limit.rankedAt > RANK_CACHE_PERIOD.toNanos()) {
			limit.rank = this.holders.rank(endpoint);
			limit.rankedAt = now;
		}
		if (limit.rank >= count) {
			limit.share = null;
			return null;
		}
		double rate = USED_FRACTION * limit.perSecond / count;
		if (limit.share == null) {
			limit.share = new TokenBucket(rate, 1, now);
			limit.share.take(1);
		}
		limit.share.setLimit(rate, 1, now);
		return limit.share;
	}

	/**
	 * The limit that one endpoint reported, and this daemon's share of it.
	 */
	private static final class Limit {

		private double perSecond;

		private long reportedAt = LONG_AGO;

		private int rank;

		private long rankedAt = LONG_AGO;

		private TokenBucket share;

	}

}
