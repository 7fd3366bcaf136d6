package org.bramleyscale.internal.gateway.backend;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;

/**
 * One start of one endpoint.
 *
 * <p>
 * Neither the address nor the id belongs to the start alone: after an endpoint has ended,
 * its address may serve another service, and it may start again under its id. Immutable
 * and safe for use by multiple threads.
 *
 * @param start which start of which endpoint
 * @param service the service it belongs to
 * @param address where it listens
 * @param dataCentre where it runs
 * @param slots how many requests it runs at once
 * @param draining true once it takes nothing new
 */
public record Backend(EndpointStart start, ServiceName service, HostAndPort address, DataCentre dataCentre, int slots,
		boolean draining) {

	/**
	 * The endpoint's id.
	 * @return the id, the same for each of its starts
	 */
	public EndpointId id() {
		return this.start.id();
	}

	/**
	 * The same endpoint once it takes nothing new.
	 * @return the endpoint, draining
	 */
	Backend drained() {
		return new Backend(this.start, this.service, this.address, this.dataCentre, this.slots, true);
	}

}
