package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.contention.Contender;
import org.bramleyscale.internal.gateway.contention.ContendingRequest;
import org.bramleyscale.internal.gateway.contention.Need;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Cancellable;

/**
 * The turn of a request in the queue of a service whose requests have different
 * priorities.
 *
 * <p>
 * Invariants: the demand tracker counts a long prompt as waiting exactly while it waits
 * here; once the turn has ended, the queue calls it no more. Confined to the scheduler's
 * thread.
 */
final class QueueTurn implements Contender {

	private final GatewayPorts ports;

	private final ServiceName service;

	private final ContendingRequest request;

	private final double prefillMillis;

	private final RelayedRequest owner;

	private boolean waiting;

	private int rank;

	private long waitingSince;

	private Cancellable place = () -> {
	};

	/**
	 * Creates a turn, which {@link #take()} begins.
	 * @param ports the daemon's parts
	 * @param resolved the route, service and account of the request
	 * @param request the request as received
	 * @param owner the request
	 */
	QueueTurn(GatewayPorts ports, ResolvedRoute resolved, CallerRequest request, RelayedRequest owner) {
		this.ports = ports;
		this.service = resolved.service().name();
		this.request = resolved.contending(request, ports.scheduler().nanos());
		this.prefillMillis = resolved.prefillMillis(request.promptTokens());
		this.owner = owner;
	}

	/**
	 * Enters the queue, which places the request at once if nothing is ahead of it.
	 */
	void take() {
		Cancellable entered = this.ports.contention().enter(this.service, this.request, this);
		if (this.waiting) {
			this.place = entered;
		}
	}

	/**
	 * Leaves the queue; further calls have no effect.
	 */
	void end() {
		this.place.cancel();
		if (this.waiting) {
			this.waiting = false;
			this.ports.metrics().recordDeferral(this.ports.scheduler().nanos() - this.waitingSince);
			if (this.request.need() == Need.LONG_LANE) {
				this.ports.demands().waitEnded(this.service, this.prefillMillis);
			}
		}
	}

	int priority() {
		return this.request.priority();
	}

	/**
	 * Returns the place of the request in the queue when it entered or left it.
	 * @return the number of requests ahead of it
	 */
	int rank() {
		return this.rank;
	}

	@Override
	public Optional<Placement> place() {
		if (!this.owner.gate().passesAtOnce()) {
			end();
			this.ports.scheduler().execute(this.owner::send);
			return Optional.empty();
		}
		return Optional.of(this.owner.choosePlacement());
	}

	@Override
	public void waits(String reason, int ahead, Duration predicted) {
		this.waiting = true;
		this.rank = ahead;
		this.waitingSince = this.ports.scheduler().nanos();
		if (this.request.need() == Need.LONG_LANE) {
			this.ports.demands().waitBegan(this.service, this.prefillMillis);
		}
		this.ports.log()
			.request(this.owner.id(), "kept", "reason", reason, "predicted_ms", predicted.toMillis(), "left_ms",
					this.owner.timeLeft().toMillis(), "priority", this.request.priority(), "rank", ahead);
	}

	@Override
	public void proceed(Placement placement, int ahead) {
		this.rank = ahead;
		end();
		this.owner.proceed(placement);
	}

	@Override
	public void refused(String reason, int ahead, Duration retryAfter) {
		this.rank = ahead;
		end();
		this.owner.refuse(reason, retryAfter);
	}

}
