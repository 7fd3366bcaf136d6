package org.bramleyscale.internal.gateway.backend;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;

/**
 * One start of one endpoint.
 *
 * <p>
 * The id belongs to the start, not to the address: after an endpoint has ended, its
 * address may serve another service. Immutable and safe for use by multiple threads.
 *
 * @param id the start's id
 * @param service the service it belongs to
 * @param address where it listens
 * @param dataCentre where it runs
 * @param slots how many requests it runs at once
 * @param draining true once it takes nothing new
 */
public record Backend(EndpointId id, ServiceName service, HostAndPort address, DataCentre dataCentre, int slots,
		boolean draining) {
}
