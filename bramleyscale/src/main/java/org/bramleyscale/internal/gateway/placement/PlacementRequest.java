package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;

/**
 * The input of a placement decision.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param route the request's route
 * @param account the request's client account, if it has one
 * @param service the service chosen for it
 * @param promptTokens the length of the prompt; 0 for plain services
 * @param outputTokens the maximum length of the answer; 0 for plain services
 * @param timeLeft the time until the caller's deadline
 * @param waited the time since the request arrived
 * @param tried endpoints to which it has been sent already and must not be sent again
 * @param rules decide which endpoints may be sent a request now
 * @param localDataCentre the data centre whose endpoints are preferred
 */
public record PlacementRequest(Route route, Optional<Account> account, Service service, long promptTokens,
		long outputTokens, Duration timeLeft, Duration waited, Set<EndpointStart> tried, EndpointRules rules,
		DataCentre localDataCentre) {

	/**
	 * The priority of the request: the account's if it has one, otherwise the route's.
	 * @return the priority; 0 is the most urgent
	 */
	public int priority() {
		return this.account.map(Account::priority).orElse(OptionalInt.empty()).orElse(this.route.priority());
	}

	/**
	 * The properties by which rules may bar endpoints from this request.
	 * @return the scope
	 */
	public RequestScope scope() {
		return new RequestScope(Optional.of(this.route), this.account);
	}

}
