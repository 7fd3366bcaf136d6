package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.catalog.ServiceShare;

/**
 * Handles callers' requests: resolves route, account and service, and starts relaying.
 *
 * <p>
 * Invariant: a daemon that doesn't have a catalog yet refuses requests as not run and
 * never reports a route or key as unknown. Confined to the scheduler's thread.
 */
public final class GatewayService implements CallerRequestHandler {

	/**
	 * Another daemon can be tried at once; with zero, no retry time would be sent at all.
	 */
	static final Duration LEAVING_RETRY_AFTER = Duration.ofMillis(10);

	/** A daemon obtains the catalog within a second of its start. */
	private static final Duration NO_CATALOG_RETRY_AFTER = Duration.ofMillis(500);

	/** Only a new document can change the answer. */
	private static final Duration NO_SERVICE_RETRY_AFTER = Duration.ofSeconds(1);

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final GatewayPorts ports;

	private final CatalogHolder catalogs;

	private final RandomGenerator random;

	private final Predicate<Duration> admits;

	/**
	 * Creates the service.
	 * @param ports the dependencies of requests
	 * @param catalogs the catalog in force
	 * @param admits whether to accept a request with the given time left; false for long
	 * ones while the daemon is leaving
	 * @param random chooses among a route's services
	 */
	public GatewayService(GatewayPorts ports, CatalogHolder catalogs, Predicate<Duration> admits,
			RandomGenerator random) {
		this.ports = ports;
		this.catalogs = catalogs;
		this.admits = admits;
		this.random = random;
	}

	@Override
	public HandledRequest handle(CallerRequest request, CallerReply reply) {
		Catalog catalog = this.catalogs.current().orElse(null);
		if (catalog == null) {
			return refuse(request, reply, UNAVAILABLE, "no configuration yet", NO_CATALOG_RETRY_AFTER, 0);
		}
		Optional<Route> route = catalog.route(request.host(), request.path());
		if (route.isEmpty()) {
			return refuse(request, reply, NOT_FOUND, "no such route", Duration.ZERO, catalog.version());
		}
		Optional<Account> account = request.key().flatMap(catalog::account);
		if (account.isEmpty() && catalog.keysNeeded() && !route.get().keyless()) {
			return refuse(request, reply, UNAUTHORIZED, "unknown key", Duration.ZERO, catalog.version());
		}
		if (!this.admits.test(request.timeWithin(route.get().timeout()))) {
			return refuse(request, reply, UNAVAILABLE, "daemon leaves", LEAVING_RETRY_AFTER, catalog.version());
		}
		Optional<Service> service = chooseService(catalog, route.get());
		if (service.isEmpty()) {
			return refuse(request, reply, UNAVAILABLE, "no service takes requests of the route", NO_SERVICE_RETRY_AFTER,
					catalog.version());
		}
		RelayedRequest relayed = new RelayedRequest(this.ports, request, reply,
				new ResolvedRoute(route.get(), service.get(), account, catalog.version()));
		relayed.start();
		return relayed;
	}

	/**
	 * Chooses one of a route's services by weight.
	 * @param catalog the catalog
	 * @param route the route
	 * @return the service, empty if none has a weight; one that the catalog doesn't
	 * describe counts as a service without engines
	 */
	private Optional<Service> chooseService(Catalog catalog, Route route) {
		List<ServiceShare> shares = route.services();
		int totalWeight = shares.stream().mapToInt(ServiceShare::weight).sum();
		int position = (totalWeight > 0) ? this.random.nextInt(totalWeight) : 0;
		for (ServiceShare share : shares) {
			if (position < share.weight()) {
				return Optional.of(service(catalog, share.service()));
			}
			position -= share.weight();
		}
		return Optional.empty();
	}

	private static Service service(Catalog catalog, ServiceName name) {
		return catalog.service(name).orElseGet(() -> new Service(name, 1, Optional.empty()));
	}

	private HandledRequest refuse(CallerRequest request, CallerReply reply, int status, String reason,
			Duration retryAfter, long version) {
		this.ports.log()
			.request(request.id(), "refused", "status", status, "reason", reason, "catalog", version, "host",
					request.host(), "path", request.path());
		this.ports.metrics().requestEnded("refused");
		reply.sendOwnResponse(status, reason, retryAfter);
		return HandledRequest.ENDED;
	}

}
