package org.bramleyscale.internal.gateway.catalog;

import java.util.Optional;

import org.bramleyscale.ServiceName;

/**
 * A service as the operator describes it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param name the name
 * @param connectionLimit how many connections one endpoint takes from all daemons
 * together
 * @param engine how its engines work, or empty for a plain service
 * @param aims what the routes that lead to it want of its streams
 */
public record Service(ServiceName name, int connectionLimit, Optional<EngineProfile> engine, StreamAims aims) {

	/**
	 * A service whose routes aren't known yet.
	 * @param name the name
	 * @param connectionLimit how many connections one endpoint takes
	 * @param engine how its engines work, or empty for a plain service
	 */
	public Service(ServiceName name, int connectionLimit, Optional<EngineProfile> engine) {
		this(name, connectionLimit, engine, StreamAims.NONE);
	}

}
