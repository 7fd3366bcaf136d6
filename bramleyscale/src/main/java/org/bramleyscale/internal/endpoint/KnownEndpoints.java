package org.bramleyscale.internal.endpoint;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;

/**
 * The state of the endpoints that an entry uses, as needed by its reservations.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface KnownEndpoints {

	/**
	 * Returns the endpoints of a service that this entry uses and that are neither
	 * leaving nor ejected.
	 * @param service the service
	 * @param model the model
	 * @return the endpoints in a stable order
	 */
	List<EndpointEntry> usable(ServiceName service, ModelName model);

	/**
	 * Returns the newest load report received with a grant.
	 * @param endpoint the endpoint
	 * @return the report, or empty if there is none
	 */
	Optional<LoadReport> report(EndpointId endpoint);

	/**
	 * Returns the daemon that owns the endpoint, as far as this entry knows.
	 * @param endpoint the endpoint
	 * @return the owner's VM, or empty if there is none
	 */
	Optional<VmId> owner(EndpointId endpoint);

}
