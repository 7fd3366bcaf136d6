package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Cancellable;

/**
 * A request that is kept here because its engines still read others' prompts, and what
 * other daemons are told of it meanwhile.
 *
 * <p>
 * Invariant: the demand board counts it exactly while it is kept. Confined to the
 * scheduler's thread.
 */
final class KeptPrompt {

	private final GatewayPorts ports;

	private final String request;

	private final ServiceName service;

	private final double readMillis;

	private boolean kept;

	private long since;

	private Cancellable timer = () -> {
	};

	KeptPrompt(GatewayPorts ports, String request, ServiceName service, double readMillis) {
		this.ports = ports;
		this.request = request;
		this.service = service;
		this.readMillis = readMillis;
	}

	/**
	 * Keeps the request for a moment.
	 * @param placement why
	 * @param left the time left for it
	 * @param again places it anew
	 */
	void keep(Placement placement, Duration left, Runnable again) {
		if (!this.kept) {
			this.kept = true;
			this.since = this.ports.scheduler().nanos();
			this.ports.demands().waitBegan(this.service, this.readMillis);
			this.ports.log()
				.request(this.request, "kept", "reason", placement.reason(), "predicted_ms",
						Math.round(placement.firstMillis()), "left_ms", left.toMillis());
		}
		this.timer = this.ports.scheduler().schedule(Placement.PLACED_AGAIN, again);
	}

	/**
	 * Tells that it is kept no more; calling again has no effect.
	 */
	void end() {
		this.timer.cancel();
		if (this.kept) {
			this.kept = false;
			this.ports.metrics().kept(this.ports.scheduler().nanos() - this.since);
			this.ports.demands().waitEnded(this.service, this.readMillis);
		}
	}

}
