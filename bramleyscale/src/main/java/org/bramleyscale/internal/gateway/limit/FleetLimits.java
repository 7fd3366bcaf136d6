package org.bramleyscale.internal.gateway.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.FleetNews;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Keeps the limits that endpoints name, with all other daemons.
 *
 * <p>
 * A limit binds the whole fleet, and one daemon hears of it first. It tells the others at
 * once, and now and then while the endpoint goes on naming it; besides, each daemon tells
 * one peer after the other what it knows, for those that have just started. Confined to
 * the scheduler's thread.
 */
public final class FleetLimits implements EndpointLimits, FleetNews.Beliefs<LimitsTold> {

	/** Limits in one repeated message: 40 bytes each, 1.6 KB a second. */
	private static final int MOST_REPEATED = 40;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Scheduler scheduler;

	private final FleetNews<LimitsTold> news;

	private final DecisionLog log;

	private final LimitBook book;

	/**
	 * Makes the keeper.
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param routes who gets what is new
	 * @param holders who uses a limit
	 * @param log takes what is believed
	 * @param metrics counts
	 */
	public FleetLimits(Scheduler scheduler, PeerNetwork network, NewsRoutes routes, LimitHolders holders,
			DecisionLog log, MetricRegistry metrics) {
		this.scheduler = scheduler;
		this.log = log;
		this.book = new LimitBook(scheduler, holders);
		this.news = new FleetNews<>(scheduler, network, routes, LimitsTold.class, this);
		metrics.gauge("gateway.limits.named", () -> this.book::size);
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(106, LimitsTold.class);
	}

	/**
	 * Forgets an endpoint that is gone.
	 * @param endpoint the endpoint
	 */
	public void forget(EndpointStart endpoint) {
		this.book.forget(endpoint);
	}

	@Override
	public boolean limited(EndpointStart endpoint) {
		return this.book.limitedSince(endpoint).isPresent();
	}

	@Override
	public boolean open(EndpointStart endpoint) {
		return this.book.open(endpoint);
	}

	@Override
	public void sent(EndpointStart endpoint) {
		this.book.sent(endpoint);
	}

	@Override
	public void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt) {
		Optional<Long> limited = this.book.limitedSince(endpoint);
		if (perSecond.isEmpty() && (limited.isEmpty() || sentAt - limited.get() <= 0)) {
			// Nothing was known, or the answer may be older than what is.
			return;
		}
		long now = this.scheduler.nanos();
		double said = perSecond.orElse(LimitsTold.Limit.UNLIMITED);
		if (this.book.says(endpoint, said, now)) {
			this.log.belief("endpoint", endpoint, "limit", said);
			this.news.tell(new LimitsTold(List.of(this.book.told(endpoint))));
		}
	}

	@Override
	public Optional<LimitsTold> gist() {
		this.book.expire();
		return told(this.book.newest(MOST_REPEATED));
	}

	@Override
	public Optional<LimitsTold> heard(Incarnation from, LimitsTold message) {
		List<LimitsTold.Limit> news = new ArrayList<>();
		for (LimitsTold.Limit limit : (message.limits() != null) ? message.limits() : List.<LimitsTold.Limit>of()) {
			EndpointStart endpoint = EndpointStart.parse(limit.endpoint());
			long at = this.scheduler.nanos() - limit.ageMillis() * NANOS_PER_MILLI;
			if (this.book.says(endpoint, limit.perSecond(), at)) {
				this.log.belief("endpoint", endpoint, "limit", limit.perSecond(), "from", from, "age_ms",
						limit.ageMillis());
				news.add(limit);
			}
		}
		return told(news);
	}

	private static Optional<LimitsTold> told(List<LimitsTold.Limit> limits) {
		return limits.isEmpty() ? Optional.empty() : Optional.of(new LimitsTold(limits));
	}

}
