package org.bramleyscale.internal.configuration;

import java.util.List;

/**
 * What the operator runs. Immutable and safe for use by multiple threads.
 *
 * @param vms the VMs that run daemons
 * @param models the models
 * @param services the services
 * @param endpoints the endpoints
 */
public record Register(List<VmEntry> vms, List<ModelEntry> models, List<ServiceEntry> services,
		List<EndpointEntry> endpoints) {

	/** A register without entries. */
	public static final Register EMPTY = new Register(List.of(), List.of(), List.of(), List.of());

	public Register {
		vms = List.copyOf(vms);
		models = List.copyOf(models);
		services = List.copyOf(services);
		endpoints = List.copyOf(endpoints);
	}

}
