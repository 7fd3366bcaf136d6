package org.bramleyscale.internal.gateway.region;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.bramleyscale.Region;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.eligibility.EndpointRule;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;

/**
 * Excludes endpoints outside the regions that a request's route and client account allow.
 *
 * <p>
 * Invariant: an endpoint whose data centre has no known region is excluded from every
 * restricted request. An endpoint stays in its lane, since other requests may use it.
 * Confined to the scheduler's thread.
 */
public final class AllowedRegionRule implements EndpointRule {

	private final RegionMap regions;

	private final BooleanSupplier inUse;

	/**
	 * Creates the rule.
	 * @param regions the regions of data centres
	 * @param inUse whether the operator's document restricts any route or account
	 */
	public AllowedRegionRule(RegionMap regions, BooleanSupplier inUse) {
		this.regions = regions;
		this.inUse = inUse;
	}

	@Override
	public Duration blockedFor(Backend endpoint, RequestScope scope) {
		boolean permitted = !scope.restrictedToRegions() || scope.allows(this.regions.of(endpoint.dataCentre()));
		return permitted ? Duration.ZERO : WHOLE_REQUEST;
	}

	@Override
	public boolean leavesLanes(Backend endpoint) {
		return false;
	}

	/**
	 * {@inheritDoc} Endpoints are grouped by region while any route or account is
	 * restricted, so that restricted requests find engines of both lanes in each region.
	 */
	@Override
	public Optional<String> laneGroup(Backend endpoint) {
		return this.inUse.getAsBoolean() ? this.regions.of(endpoint.dataCentre()).map(Region::value) : Optional.empty();
	}

	@Override
	public String reason() {
		return "no endpoint in an allowed region";
	}

}
