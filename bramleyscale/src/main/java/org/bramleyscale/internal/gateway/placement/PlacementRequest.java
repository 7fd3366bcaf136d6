package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.Set;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;

/**
 * What a placement decision is about.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param route the request's route
 * @param service the service chosen for it
 * @param promptTokens the prompt's length; 0 for plain services
 * @param outputTokens the longest answer; 0 for plain services
 * @param left the time until its caller leaves
 * @param waited how long ago it arrived
 * @param tried endpoints that had it already and shall not get it again
 * @param limits knows which endpoints may get a request from this daemon now
 * @param near the data centre whose endpoints are nearest
 */
public record PlacementRequest(Route route, Service service, long promptTokens, long outputTokens, Duration left,
		Duration waited, Set<EndpointStart> tried, EndpointLimits limits, DataCentre near) {
}
