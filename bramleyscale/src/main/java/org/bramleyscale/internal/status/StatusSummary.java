package org.bramleyscale.internal.status;

import java.time.Instant;
import java.util.List;

import org.bramleyscale.Incarnation;

/**
 * What one daemon knows of the fleet.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param daemon the daemon that answers
 * @param at its time of day
 * @param admitting whether it takes new requests
 * @param version the configuration version it holds; 0 if none
 * @param platformSilentMillis for how long the platform has not answered it
 * @param daemons the daemons it knows, itself included
 * @param endpoints the endpoints it knows
 * @param queues the work that waits at it, by service
 * @param failures the failures it saw lately, the newest first
 */
public record StatusSummary(Incarnation daemon, Instant at, boolean admitting, long version, long platformSilentMillis,
		List<DaemonStatus> daemons, List<EndpointStatus> endpoints, List<QueueStatus> queues,
		List<RecentFailure> failures) {

	public StatusSummary {
		daemons = List.copyOf(daemons);
		endpoints = List.copyOf(endpoints);
		queues = List.copyOf(queues);
		failures = List.copyOf(failures);
	}

}
