package org.bramleyscale.internal.steward;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.EngineOrder;

/**
 * An order to be sent to an endpoint.
 *
 * @param endpoint the endpoint
 * @param kind load or unload
 * @param model the model
 */
record PlannedOrder(EndpointId endpoint, EngineOrder.Kind kind, String model) {

	boolean loads() {
		return this.kind == EngineOrder.Kind.LOAD_MODEL;
	}

}
