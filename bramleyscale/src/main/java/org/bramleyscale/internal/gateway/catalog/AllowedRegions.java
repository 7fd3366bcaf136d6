package org.bramleyscale.internal.gateway.catalog;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.Region;

/**
 * The regions in which requests may run.
 *
 * <p>
 * Two restrictions combine to the regions that both allow, which may be none. A
 * restriction to no region is therefore different from no restriction. Immutable and safe
 * for use by multiple threads.
 */
public final class AllowedRegions {

	/** No restriction. */
	public static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

	private final Optional<Set<Region>> regions;

	private AllowedRegions(Optional<Set<Region>> regions) {
		this.regions = regions;
	}

	/**
	 * Creates a restriction as configured by the operator. A route or account with an
	 * empty list has no regions to keep to; an empty list of accounts, which names who
	 * may call, lets nobody in.
	 * @param regions the regions; an empty list means no restriction
	 * @return the restriction
	 */
	public static AllowedRegions of(Collection<Region> regions) {
		return regions.isEmpty() ? ANY : new AllowedRegions(Optional.of(Set.copyOf(regions)));
	}

	/**
	 * Combines two restrictions.
	 * @param other the other restriction
	 * @return the restriction to the regions that both allow
	 */
	public AllowedRegions and(AllowedRegions other) {
		if (!restricted()) {
			return other;
		}
		Set<Region> common = new LinkedHashSet<>(this.regions.get());
		common.removeIf((region) -> !other.allows(Optional.of(region)));
		return new AllowedRegions(Optional.of(Set.copyOf(common)));
	}

	public boolean restricted() {
		return this.regions.isPresent();
	}

	/**
	 * Whether requests may run in a region.
	 * @param region the region, empty if it isn't known
	 * @return true if there is no restriction, or the region is one of those allowed
	 */
	public boolean allows(Optional<Region> region) {
		return this.regions.map((allowed) -> region.filter(allowed::contains).isPresent()).orElse(true);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof AllowedRegions that && this.regions.equals(that.regions);
	}

	@Override
	public int hashCode() {
		return this.regions.hashCode();
	}

	@Override
	public String toString() {
		return this.regions.map(Set::toString).orElse("any");
	}

}
