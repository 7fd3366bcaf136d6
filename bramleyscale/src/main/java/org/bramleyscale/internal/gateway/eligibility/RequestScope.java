package org.bramleyscale.internal.gateway.eligibility;

import java.util.Optional;

import org.bramleyscale.Region;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Route;

/**
 * The properties of a request by which endpoints may be barred from it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param route its route, empty if any route is meant
 * @param account its client account, empty if it has none or any account is meant
 */
public record RequestScope(Optional<Route> route, Optional<Account> account) {

	/** Stands for any request, for questions that concern the endpoint alone. */
	public static final RequestScope ANY = new RequestScope(Optional.empty(), Optional.empty());

	/**
	 * Whether the request is restricted to regions.
	 * @return true if its route or its account allows only some
	 */
	public boolean restrictedToRegions() {
		return (this.route.isPresent() && this.route.get().allowedRegions().restricted())
				|| (this.account.isPresent() && this.account.get().allowedRegions().restricted());
	}

	/**
	 * Whether the request may run in a region.
	 * @param region the region, empty if it isn't known
	 * @return true if neither its route nor its account excludes it
	 */
	public boolean allows(Optional<Region> region) {
		return this.route.map((known) -> known.allowedRegions().allows(region)).orElse(true)
				&& this.account.map((known) -> known.allowedRegions().allows(region)).orElse(true);
	}

}
