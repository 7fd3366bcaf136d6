package org.bramleyscale.internal.gateway.eligibility;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;

/**
 * Blocks endpoints during the back-off that they requested from this daemon.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class RequestedBackoff implements EndpointRule {

	private final BackendHealth health;

	public RequestedBackoff(BackendHealth health) {
		this.health = health;
	}

	@Override
	public Duration blockedFor(Backend endpoint, RequestScope scope) {
		return this.health.backoffLeft(endpoint.start());
	}

	@Override
	public boolean leavesLanes(Backend endpoint) {
		return !this.health.backoffLeft(endpoint.start()).isZero();
	}

	@Override
	public String reason() {
		return "all endpoints asked for rest";
	}

}
