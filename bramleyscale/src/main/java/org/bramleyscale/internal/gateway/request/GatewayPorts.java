package org.bramleyscale.internal.gateway.request;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.reachability.EndpointPaths;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The parts of the daemon that relayed requests depend on.
 *
 * @param scheduler the daemon's thread and clock
 * @param dataCentre the daemon's data centre
 * @param client sends requests to endpoints
 * @param placement chooses the endpoint of each request
 * @param notices processes what endpoints report about themselves
 * @param health records the outcomes of requests to endpoints
 * @param paths knows whether the endpoints of a service can be reached
 * @param loads records the work in progress at endpoints
 * @param demands records the demand for each service
 * @param contention the queues of services whose requests have different priorities
 * @param retryBudget limits retries
 * @param rules decide which endpoints may receive a request now
 * @param limits records the limits that endpoints name
 * @param crashes identifies requests that crash endpoints
 * @param holds reserves memory on engines
 * @param heldBytes bounds what all requests hold of responses
 * @param onLongPromptSent called after a long prompt was sent
 * @param log records each decision
 * @param metrics records outcomes and durations
 */
public record GatewayPorts(Scheduler scheduler, DataCentre dataCentre, BackendClient client, PlacementPolicy placement,
		EndpointNotices notices, BackendHealth health, EndpointPaths paths, LoadTracker loads, DemandTracker demands,
		ContentionQueues contention, RetryBudget retryBudget, EndpointRules rules, EndpointLimits limits,
		CrashGuard crashes, MemoryHolds holds, HeldBytes heldBytes, Runnable onLongPromptSent, DecisionLog log,
		GatewayMetrics metrics) {
}
