package org.bramleyscale.internal.gateway.region;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.Region;
import org.bramleyscale.internal.gateway.catalog.AllowedRegions;
import org.bramleyscale.internal.membership.Member;

/**
 * The daemons that may be named to a caller of a host with restricted routes, as long as
 * one of them is usable: those in the caller's region, and those in a region that all
 * restricted routes allow.
 *
 * <p>
 * Only known regions are kept, so the number of different values is bounded whatever
 * regions callers name. Immutable and safe for use by multiple threads.
 *
 * @param regions the regions of these daemons; empty if no daemon is preferred
 * @param map the regions of data centres
 */
public record PreferredDaemons(Set<Region> regions, RegionMap map) {

	/** No daemon is preferred to another. */
	public static final PreferredDaemons ANY = new PreferredDaemons(Set.of(), RegionMap.EMPTY);

	public PreferredDaemons {
		regions = Set.copyOf(regions);
	}

	/**
	 * Determines the preferred daemons.
	 * @param allowed the regions that all restricted routes of the host allow
	 * @param caller the caller's region, if known
	 * @param map the regions of data centres
	 * @return the daemons; {@link #ANY} if the host has no restricted route
	 */
	public static PreferredDaemons of(AllowedRegions allowed, Optional<Region> caller, RegionMap map) {
		if (!allowed.restricted()) {
			return ANY;
		}
		Set<Region> preferred = new HashSet<>(map.regions().values());
		preferred.removeIf((region) -> !allowed.allows(Optional.of(region)) && !caller.equals(Optional.of(region)));
		return new PreferredDaemons(preferred, map);
	}

	/**
	 * Selects the preferred daemons.
	 * @param usable the daemons that respond
	 * @return those that are preferred, or all if there are none
	 */
	public List<Member> among(Collection<Member> usable) {
		List<Member> preferred = usable.stream()
			.filter((member) -> this.map.of(member.dataCentre()).filter(this.regions::contains).isPresent())
			.toList();
		return preferred.isEmpty() ? List.copyOf(usable) : preferred;
	}

}
