package org.bramleyscale.internal.steward;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Gives orders to endpoints under one tenure of a lease.
 *
 * <p>
 * Invariants: the lease is checked just before each order; each order carries the lease's
 * number; an endpoint that ignores numbers gets none before the longest possible late
 * order of an earlier holder has passed.
 *
 * <p>
 * A holder can be paused between the check and the sending, and its order arrives after
 * the next holder's. An endpoint that checks numbers refuses it. One that ignores them
 * would take the old state for good, which shows as a model that comes and goes; there
 * the wait makes the new holder's order the last one, and whoever gives orders must go on
 * comparing and repeat them. Confined to the scheduler's thread.
 */
public final class FencedOrders {

	private final Scheduler scheduler;

	private final EngineClient engines;

	private final Lease lease;

	private final MetricRegistry metrics;

	private final long openAt;

	/**
	 * Begins a tenure.
	 * @param scheduler the daemon's scheduler
	 * @param engines calls the endpoints
	 * @param lease the lease, just taken
	 * @param longestLateOrder how late an order of an earlier holder may still arrive
	 * @param metrics counts the outcomes
	 */
	public FencedOrders(Scheduler scheduler, EngineClient engines, Lease lease, Duration longestLateOrder,
			MetricRegistry metrics) {
		this.scheduler = scheduler;
		this.engines = engines;
		this.lease = lease;
		this.metrics = metrics;
		this.openAt = scheduler.nanos() + longestLateOrder.toNanos();
	}

	/**
	 * Whether an endpoint may be given orders.
	 * @param endpoint the endpoint
	 * @return false while a late order of an earlier holder may still arrive there
	 */
	public boolean open(EndpointEntry endpoint) {
		return endpoint.checksFencing() || this.scheduler.nanos() - this.openAt >= 0;
	}

	/**
	 * Gives an order, once.
	 * @param endpoint the endpoint
	 * @param kind what shall change
	 * @param desired the desired value
	 * @return what became of it; never fails
	 */
	public CompletableFuture<OrderOutcome> give(EndpointEntry endpoint, EngineOrder.Kind kind, String desired) {
		if (!open(endpoint)) {
			return CompletableFuture.completedFuture(count(OrderOutcome.TOO_EARLY));
		}
		if (!this.lease.held()) {
			return CompletableFuture.completedFuture(count(OrderOutcome.NOT_HELD));
		}
		EngineOrder order = new EngineOrder(kind, desired, this.lease.number());
		return this.engines.order(endpoint, order).handle((nothing, failure) -> count(outcome(failure)));
	}

	private static OrderOutcome outcome(Throwable failure) {
		if (failure == null) {
			return OrderOutcome.ACCEPTED;
		}
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean fencedOff = cause instanceof ServingException serving && serving.code() == ErrorCode.CONFLICT;
		return (fencedOff) ? OrderOutcome.FENCED_OFF : OrderOutcome.FAILED;
	}

	private OrderOutcome count(OrderOutcome outcome) {
		this.metrics.counter("order." + outcome.name().toLowerCase(Locale.ROOT)).inc();
		return outcome;
	}

}
