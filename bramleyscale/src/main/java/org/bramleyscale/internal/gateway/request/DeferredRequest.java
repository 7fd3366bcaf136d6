package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Cancellable;

/**
 * A request that is deferred in this daemon because its engines are still prefilling
 * other prompts. Its demand is shared with other daemons while it is deferred.
 *
 * <p>
 * Invariant: the demand tracker counts the request exactly while it is deferred. Confined
 * to the scheduler's thread.
 */
final class DeferredRequest {

	private final GatewayPorts ports;

	private final String requestId;

	private final ServiceName service;

	private final double prefillMillis;

	private boolean deferred;

	private long deferredAt;

	private Cancellable timer = () -> {
	};

	DeferredRequest(GatewayPorts ports, String requestId, ServiceName service, double prefillMillis) {
		this.ports = ports;
		this.requestId = requestId;
		this.service = service;
		this.prefillMillis = prefillMillis;
	}

	/**
	 * Defers the request for a short time.
	 * @param placement the placement that deferred it
	 * @param left the time left for it
	 * @param retry places it again
	 */
	void defer(Placement placement, Duration left, Runnable retry) {
		if (!this.deferred) {
			this.deferred = true;
			this.deferredAt = this.ports.scheduler().nanos();
			this.ports.demands().waitBegan(this.service, this.prefillMillis);
			this.ports.log()
				.request(this.requestId, "kept", "reason", placement.reason(), "predicted_ms",
						Math.round(placement.firstEventMillis()), "left_ms", left.toMillis());
		}
		this.timer = this.ports.scheduler().schedule(Placement.RETRY_INTERVAL, retry);
	}

	/**
	 * Ends the deferral; further calls have no effect.
	 */
	void end() {
		this.timer.cancel();
		if (this.deferred) {
			this.deferred = false;
			this.ports.metrics().recordDeferral(this.ports.scheduler().nanos() - this.deferredAt);
			this.ports.demands().waitEnded(this.service, this.prefillMillis);
		}
	}

}
