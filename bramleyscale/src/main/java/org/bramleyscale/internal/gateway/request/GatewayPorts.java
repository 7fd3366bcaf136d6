package org.bramleyscale.internal.gateway.request;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandBoard;
import org.bramleyscale.internal.gateway.load.LoadBoard;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.retry.RetryWindow;
import org.bramleyscale.internal.time.Scheduler;

/**
 * What relayed requests use of the daemon.
 *
 * @param scheduler its thread and clock
 * @param dataCentre where it runs
 * @param client sends requests to endpoints
 * @param placement decides where they go
 * @param notices takes what endpoints say of themselves
 * @param health learns from outcomes
 * @param loads learns what is under way
 * @param demands learns what is asked for
 * @param retries bounds what is sent again
 * @param limits knows which endpoints may get a request now
 * @param crashes knows which requests end endpoints
 * @param holds sets memory aside on engines
 * @param longSent called after a long prompt was sent
 * @param log takes each decision
 * @param metrics counts outcomes
 */
public record GatewayPorts(Scheduler scheduler, DataCentre dataCentre, BackendClient client, PlacementPolicy placement,
		EndpointNotices notices, BackendHealth health, LoadBoard loads, DemandBoard demands, RetryWindow retries,
		EndpointLimits limits, CrashGuard crashes, MemoryHolds holds, Runnable longSent, DecisionLog log,
		GatewayMetrics metrics) {
}
