package org.bramleyscale.internal.gateway.request;

import java.util.Optional;

import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;

/**
 * What the catalog allows a request.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param route its route
 * @param service the service chosen for it
 * @param account its account, if it has a known key
 * @param version the catalog's version
 */
record Allowed(Route route, Service service, Optional<Account> account, long version) {
}
