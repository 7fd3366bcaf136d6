package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.Set;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;

/**
 * The input of a placement decision.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param route the request's route
 * @param service the service chosen for it
 * @param promptTokens the length of the prompt; 0 for plain services
 * @param outputTokens the maximum length of the answer; 0 for plain services
 * @param timeLeft the time until the caller's deadline
 * @param waited the time since the request arrived
 * @param tried endpoints to which it has been sent already and must not be sent again
 * @param limits the rate limits of endpoints
 * @param localDataCentre the data centre whose endpoints are preferred
 */
public record PlacementRequest(Route route, Service service, long promptTokens, long outputTokens, Duration timeLeft,
		Duration waited, Set<EndpointStart> tried, EndpointLimits limits, DataCentre localDataCentre) {
}
