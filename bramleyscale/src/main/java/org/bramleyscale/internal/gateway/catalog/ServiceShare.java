package org.bramleyscale.internal.gateway.catalog;

import org.bramleyscale.ServiceName;

/**
 * A service's share of a route's requests.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param service the service
 * @param weight its weight relative to the route's other services; 0 means no requests
 */
public record ServiceShare(ServiceName service, int weight) {

	public ServiceShare {
		if (weight < 0) {
			throw new IllegalArgumentException("weight of service '" + service + "' must not be negative: " + weight);
		}
	}

}
