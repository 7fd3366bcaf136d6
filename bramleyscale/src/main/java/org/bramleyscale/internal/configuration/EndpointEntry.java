package org.bramleyscale.internal.configuration;

import java.util.List;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;

/**
 * One endpoint of the register.
 *
 * @param name the endpoint
 * @param service the service it offers
 * @param dataCentre where it runs
 * @param address {@code host:port} of its HTTP server
 * @param models the models it serves; empty for a plain service
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param leaving whether the operator has marked it as leaving
 */
public record EndpointEntry(EndpointId name, ServiceName service, DataCentre dataCentre, String address,
		List<ModelName> models, boolean checksFencing, boolean leaving) implements ConfigurationEntry {

	public EndpointEntry {
		models = List.copyOf(models);
	}

	@Override
	public EntryKey key() {
		return EntryKey.of(EntryType.ENDPOINT, this.name.value());
	}

}
