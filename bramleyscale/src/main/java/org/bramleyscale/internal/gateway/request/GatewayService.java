package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.catalog.ServiceShare;

/**
 * Takes callers' requests: finds route, account and service, and starts their lives.
 *
 * <p>
 * Invariant: a daemon that knows no catalog yet refuses with "not run" and never says
 * that a route or key doesn't exist. Confined to the scheduler's thread.
 */
public final class GatewayService implements CallerRequests {

	/** Another daemon can be asked at once; zero would mean that nothing is said. */
	private static final Duration LEAVING_PAUSE = Duration.ofMillis(10);

	/** A daemon that starts knows the catalog within a second. */
	private static final Duration NO_CATALOG_PAUSE = Duration.ofMillis(500);

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final GatewayPorts ports;

	private final CatalogHolder catalogs;

	private final RandomGenerator random;

	private final Predicate<Duration> takes;

	private final Set<RelayedRequest> running = new HashSet<>();

	/**
	 * Makes the service.
	 * @param ports what requests use
	 * @param catalogs the catalog in force
	 * @param takes whether a request with so much time is taken; false for some while the
	 * daemon leaves
	 * @param random chooses among a route's services
	 */
	public GatewayService(GatewayPorts ports, CatalogHolder catalogs, Predicate<Duration> takes,
			RandomGenerator random) {
		this.ports = ports;
		this.catalogs = catalogs;
		this.takes = takes;
		this.random = random;
	}

	@Override
	public Runnable take(CallerRequest request, CallerReply reply) {
		Catalog catalog = this.catalogs.current().orElse(null);
		if (catalog == null) {
			return refuse(request, reply, UNAVAILABLE, "no configuration yet", NO_CATALOG_PAUSE, 0);
		}
		Optional<Route> route = catalog.route(request.host(), request.path());
		if (route.isEmpty()) {
			return refuse(request, reply, NOT_FOUND, "no such route", Duration.ZERO, catalog.version());
		}
		Optional<Account> account = request.key().flatMap(catalog::account);
		if (account.isEmpty() && catalog.keysNeeded() && !route.get().keyless()) {
			return refuse(request, reply, UNAUTHORIZED, "unknown key", Duration.ZERO, catalog.version());
		}
		if (!this.takes.test(request.timeWithin(route.get().timeout()))) {
			return refuse(request, reply, UNAVAILABLE, "daemon leaves", LEAVING_PAUSE, catalog.version());
		}
		Service service = service(catalog, route.get());
		RelayedRequest relayed = new RelayedRequest(this.ports, request, reply,
				new Allowed(route.get(), service, account, catalog.version()), this.running::remove);
		this.running.add(relayed);
		relayed.start();
		return relayed::callerGone;
	}

	/**
	 * How many requests haven't ended.
	 * @return the number
	 */
	public int unfinished() {
		return this.running.size();
	}

	/**
	 * Chooses one of a route's services by weight.
	 * @param catalog the catalog
	 * @param route the route
	 * @return the service; one that the catalog doesn't describe counts as plain
	 */
	private Service service(Catalog catalog, Route route) {
		List<ServiceShare> shares = route.services();
		int sum = shares.stream().mapToInt(ServiceShare::weight).sum();
		int point = (sum > 0) ? this.random.nextInt(sum) : 0;
		ServiceShare chosen = shares.get(0);
		for (ServiceShare share : shares) {
			if (point < share.weight()) {
				chosen = share;
				break;
			}
			point -= share.weight();
		}
		ServiceShare share = chosen;
		return catalog.service(share.service()).orElseGet(() -> new Service(share.service(), 1, Optional.empty()));
	}

	private Runnable refuse(CallerRequest request, CallerReply reply, int status, String reason, Duration retryAfter,
			long version) {
		this.ports.log()
			.request(request.id(), "refused", "status", status, "reason", reason, "catalog", version, "host",
					request.host(), "path", request.path());
		this.ports.metrics().ended("refused");
		reply.own(status, reason, retryAfter);
		return () -> {
		};
	}

}
