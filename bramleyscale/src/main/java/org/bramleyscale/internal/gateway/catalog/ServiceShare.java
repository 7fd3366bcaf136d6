package org.bramleyscale.internal.gateway.catalog;

import org.bramleyscale.ServiceName;

/**
 * A service's part in a route.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param service the service
 * @param weight its weight against the route's other services; 0 means that it gets none
 */
public record ServiceShare(ServiceName service, int weight) {

	public ServiceShare {
		if (weight < 0) {
			throw new IllegalArgumentException("weight of service '" + service + "' must not be negative: " + weight);
		}
	}

}
