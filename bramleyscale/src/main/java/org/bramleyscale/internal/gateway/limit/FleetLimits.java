package org.bramleyscale.internal.gateway.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.FleetGossip;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Enforces the limits that endpoints name, and shares them between all daemons of the
 * fleet.
 *
 * <p>
 * A limit applies to the whole fleet, and one daemon receives it first. That daemon
 * broadcasts it at once, and again from time to time while the endpoint continues to name
 * it. In addition, each daemon repeats the limits that it knows to one peer after
 * another, for peers that have just started. Confined to the scheduler's thread.
 */
public final class FleetLimits implements EndpointLimits, FleetGossip.State<LimitsUpdate> {

	/** Maximum number of limits in a repeated message: 40 bytes each, 1.6 KB a second. */
	private static final int MAX_REPEATED = 40;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Scheduler scheduler;

	private final FleetGossip<LimitsUpdate> gossip;

	private final DecisionLog log;

	private final LimitRegistry registry;

	/**
	 * Creates the limits and starts to exchange them with peers.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param routes the peers that updates are sent to
	 * @param holders ranks the daemons as holders of a limit
	 * @param log the decision log
	 * @param metrics the metric registry
	 */
	public FleetLimits(Scheduler scheduler, PeerNetwork network, UpdateRoutes routes, LimitHolders holders,
			DecisionLog log, MetricRegistry metrics) {
		this.scheduler = scheduler;
		this.log = log;
		this.registry = new LimitRegistry(scheduler, holders);
		this.gossip = new FleetGossip<>(scheduler, network, routes, LimitsUpdate.class, this);
		metrics.gauge("gateway.limits.named", () -> this.registry::size);
	}

	/**
	 * Registers this package's peer messages.
	 * @param builder the message catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(106, LimitsUpdate.class, "LimitsTold");
	}

	/**
	 * Removes the limit of an endpoint that has ended.
	 * @param endpoint the endpoint
	 */
	public void remove(EndpointStart endpoint) {
		this.registry.remove(endpoint);
	}

	@Override
	public boolean limited(EndpointStart endpoint) {
		return this.registry.lastReported(endpoint).isPresent();
	}

	@Override
	public boolean permits(EndpointStart endpoint) {
		return this.registry.permits(endpoint);
	}

	@Override
	public void sent(EndpointStart endpoint) {
		this.registry.sent(endpoint);
	}

	@Override
	public void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt) {
		Optional<Long> lastReported = this.registry.lastReported(endpoint);
		if (perSecond.isEmpty() && (lastReported.isEmpty() || sentAt - lastReported.get() <= 0)) {
			// No limit is known, or the answer may be older than the known limit.
			return;
		}
		long now = this.scheduler.nanos();
		double reported = perSecond.orElse(LimitsUpdate.Limit.UNLIMITED);
		if (this.registry.update(endpoint, reported, now)) {
			this.log.belief("endpoint", endpoint, "limit", reported);
			this.gossip.publish(new LimitsUpdate(List.of(this.registry.toMessage(endpoint))));
		}
	}

	@Override
	public Optional<LimitsUpdate> digest() {
		this.registry.expire();
		return toMessage(this.registry.newest(MAX_REPEATED));
	}

	@Override
	public Optional<LimitsUpdate> merge(Incarnation from, LimitsUpdate message) {
		List<LimitsUpdate.Limit> updated = new ArrayList<>();
		for (LimitsUpdate.Limit limit : (message.limits() != null) ? message.limits() : List.<LimitsUpdate.Limit>of()) {
			EndpointStart endpoint = EndpointStart.parse(limit.endpoint());
			long at = this.scheduler.nanos() - limit.ageMillis() * NANOS_PER_MILLI;
			if (this.registry.update(endpoint, limit.perSecond(), at)) {
				this.log.belief("endpoint", endpoint, "limit", limit.perSecond(), "from", from, "age_ms",
						limit.ageMillis());
				updated.add(limit);
			}
		}
		return toMessage(updated);
	}

	private static Optional<LimitsUpdate> toMessage(List<LimitsUpdate.Limit> limits) {
		return limits.isEmpty() ? Optional.empty() : Optional.of(new LimitsUpdate(limits));
	}

}
