package org.bramleyscale.internal.gateway.region;

import java.util.Map;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Region;

/**
 * The regions of data centres, as given in the settings.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param regions the region by data centre
 */
public record RegionMap(Map<DataCentre, Region> regions) {

	/** No region is known, so restricted requests may run nowhere. */
	public static final RegionMap EMPTY = new RegionMap(Map.of());

	public RegionMap {
		regions = Map.copyOf(regions);
	}

	/**
	 * The region of a data centre.
	 * @param dataCentre the data centre
	 * @return the region, empty if the settings don't name it
	 */
	public Optional<Region> of(DataCentre dataCentre) {
		return Optional.ofNullable(this.regions.get(dataCentre));
	}

	/**
	 * Whether a data centre is in a region.
	 * @param region the region
	 * @return true if the settings name one
	 */
	public boolean knows(Region region) {
		return this.regions.containsValue(region);
	}

}
