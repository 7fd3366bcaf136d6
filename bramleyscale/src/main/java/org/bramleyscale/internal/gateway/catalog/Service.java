package org.bramleyscale.internal.gateway.catalog;

import java.util.Optional;

import org.bramleyscale.ServiceName;

/**
 * A service as configured by the operator.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param name the name
 * @param connectionLimit the maximum number of connections that one endpoint accepts from
 * all daemons together
 * @param engine the performance model of its engines, or empty for a plain service
 * @param streamTargets the targets for its streams, from the routes that lead to it
 * @param prioritiesDiffer whether its requests have different priorities, from the routes
 * that lead to it and the client accounts
 * @param coldStart what its endpoints tolerate while they are cold
 */
public record Service(ServiceName name, int connectionLimit, Optional<EngineProfile> engine,
		StreamTargets streamTargets, boolean prioritiesDiffer, ColdStart coldStart) {

	/**
	 * Creates a service whose routes aren't known yet.
	 * @param name the name
	 * @param connectionLimit the maximum number of connections that one endpoint accepts
	 * @param engine the performance model of its engines, or empty for a plain service
	 */
	public Service(ServiceName name, int connectionLimit, Optional<EngineProfile> engine) {
		this(name, connectionLimit, engine, StreamTargets.NONE);
	}

	/**
	 * Creates a service whose requests all have the same priority, and whose cold
	 * endpoints are treated like others.
	 * @param name the name
	 * @param connectionLimit the maximum number of connections that one endpoint accepts
	 * @param engine the performance model of its engines, or empty for a plain service
	 * @param streamTargets the targets for its streams
	 */
	public Service(ServiceName name, int connectionLimit, Optional<EngineProfile> engine, StreamTargets streamTargets) {
		this(name, connectionLimit, engine, streamTargets, false, ColdStart.NONE);
	}

	/**
	 * Returns a copy whose cold endpoints are limited.
	 * @param limits what they tolerate
	 * @return the copy
	 */
	public Service withColdStart(ColdStart limits) {
		return new Service(this.name, this.connectionLimit, this.engine, this.streamTargets, this.prioritiesDiffer,
				limits);
	}

}
