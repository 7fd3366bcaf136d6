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
 * Sends orders to endpoints under one tenure of a lease.
 *
 * <p>
 * Invariants: the lease is checked immediately before each order; each order carries the
 * lease's fencing number; an endpoint that doesn't check fencing numbers gets no order
 * until the maximum delay of an earlier holder's orders has elapsed.
 *
 * <p>
 * A holder can be paused between the check and the sending, so that its order arrives
 * after one of the next holder. An endpoint that checks fencing numbers rejects the late
 * order. One that doesn't check them would keep the outdated state, and a model would be
 * loaded and unloaded repeatedly. For such an endpoint the wait ensures that the new
 * holder's order is the last one, and the caller must keep comparing desired with
 * observed state and repeat its orders. Confined to the scheduler's thread.
 */
public final class FencedOrders {

	private final Scheduler scheduler;

	private final EngineClient engines;

	private final Lease lease;

	private final MetricRegistry metrics;

	private final long acceptedFrom;

	/**
	 * Creates an instance for one tenure.
	 * @param scheduler the daemon's scheduler
	 * @param engines calls the endpoints
	 * @param lease the lease, just acquired
	 * @param maxOrderDelay the maximum delay with which an order of an earlier holder may
	 * arrive
	 * @param metrics counts the outcomes
	 */
	public FencedOrders(Scheduler scheduler, EngineClient engines, Lease lease, Duration maxOrderDelay,
			MetricRegistry metrics) {
		this.scheduler = scheduler;
		this.engines = engines;
		this.lease = lease;
		this.metrics = metrics;
		this.acceptedFrom = scheduler.nanos() + maxOrderDelay.toNanos();
	}

	/**
	 * Whether orders may be sent to an endpoint.
	 * @param endpoint the endpoint
	 * @return false while a late order of an earlier holder may still arrive at it
	 */
	public boolean acceptsOrders(EndpointEntry endpoint) {
		return endpoint.checksFencing() || this.scheduler.nanos() - this.acceptedFrom >= 0;
	}

	/**
	 * Sends an order, without retries.
	 * @param endpoint the endpoint
	 * @param kind the kind of change
	 * @param desired the desired value
	 * @return the outcome; the future never completes exceptionally
	 */
	public CompletableFuture<OrderOutcome> send(EndpointEntry endpoint, EngineOrder.Kind kind, String desired) {
		if (!acceptsOrders(endpoint)) {
			return CompletableFuture.completedFuture(count(OrderOutcome.TOO_EARLY));
		}
		if (!this.lease.held()) {
			return CompletableFuture.completedFuture(count(OrderOutcome.NOT_HELD));
		}
		EngineOrder order = new EngineOrder(kind, desired, this.lease.number());
		return this.engines.order(endpoint, order).handle((ignored, failure) -> count(outcome(failure)));
	}

	private static OrderOutcome outcome(Throwable failure) {
		if (failure == null) {
			return OrderOutcome.ACCEPTED;
		}
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean fenced = cause instanceof ServingException serving && serving.code() == ErrorCode.CONFLICT;
		return (fenced) ? OrderOutcome.FENCED_OFF : OrderOutcome.FAILED;
	}

	private OrderOutcome count(OrderOutcome outcome) {
		this.metrics.counter("order." + outcome.name().toLowerCase(Locale.ROOT)).inc();
		return outcome;
	}

}
