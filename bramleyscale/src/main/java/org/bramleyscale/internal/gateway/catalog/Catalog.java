package org.bramleyscale.internal.gateway.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.Region;
import org.bramleyscale.ServiceName;

/**
 * One version of the operator's document: routes, services, client accounts and limits.
 *
 * <p>
 * Immutable and safe for use by multiple threads. <pre>
 * Catalog catalog = Catalog.builder(7).route(route).service(service).build();
 * Optional&lt;Route&gt; route = catalog.route("hire.example", "/quotes/1");
 * </pre>
 */
public final class Catalog {

	private static final Comparator<Route> LONGEST_FIRST = Comparator
		.comparingInt((Route route) -> route.pathPrefix().length())
		.reversed();

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<ServiceName, Service> services;

	private final Map<String, Account> accountsByKey;

	private final boolean keysNeeded;

	private final boolean regionsRestricted;

	private final CallerLimits limits;

	private Catalog(Builder builder) {
		this.version = builder.version;
		this.services = Map.copyOf(servicesWithRoutes(builder));
		this.accountsByKey = Map.copyOf(builder.accountsByKey);
		this.keysNeeded = builder.keysNeeded;
		this.regionsRestricted = builder.routes.stream().anyMatch((route) -> route.allowedRegions().restricted())
				|| builder.accountsByKey.values().stream().anyMatch((account) -> account.allowedRegions().restricted());
		this.limits = builder.limits;
		for (Route route : builder.routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		this.routesByHost.values().forEach((routes) -> routes.sort(LONGEST_FIRST));
	}

	private static Map<ServiceName, Service> servicesWithRoutes(Builder builder) {
		Map<ServiceName, Service> services = new HashMap<>();
		builder.services.forEach((name, service) -> {
			List<Route> routes = builder.routes.stream()
				.filter((route) -> route.services().stream().anyMatch((share) -> share.service().equals(name)))
				.toList();
			services.put(name, new Service(name, service.connectionLimit(), service.engine(), StreamTargets.of(routes),
					prioritiesDiffer(routes, builder.accountsByKey.values(), builder.keysNeeded), service.coldStart()));
		});
		return services;
	}

	/**
	 * Whether requests of some routes may have different priorities. An account's
	 * priority overrides that of the route.
	 * @param routes the routes
	 * @param accounts the accounts whose requests they take
	 * @param keysNeeded whether requests of routes that aren't keyless need an account
	 * @return true if there are at least two priorities
	 */
	private static boolean prioritiesDiffer(List<Route> routes, Collection<Account> accounts, boolean keysNeeded) {
		Set<Integer> priorities = new HashSet<>();
		boolean routePriorityApplies = !keysNeeded
				|| accounts.stream().anyMatch((account) -> account.priority().isEmpty());
		for (Route route : routes) {
			if (routePriorityApplies || route.keyless()) {
				priorities.add(route.priority());
			}
			accounts.forEach((account) -> account.priority().ifPresent(priorities::add));
		}
		return priorities.size() > 1;
	}

	/**
	 * Creates a builder.
	 * @param version the document's version, which grows with each change
	 * @return a builder
	 */
	public static Builder builder(long version) {
		return new Builder(version);
	}

	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request.
	 * @param host the host in the caller's request, with or without a port
	 * @param path the path without its query
	 * @return the route with the longest matching path prefix, if any
	 */
	public Optional<Route> route(String host, String path) {
		for (Route route : routes(host)) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * The regions that all restricted routes of a host allow.
	 * @param host the host, with or without a port
	 * @return the regions; any if the host has no restricted route
	 */
	public AllowedRegions allowedRegions(String host) {
		return routes(host).stream().map(Route::allowedRegions).reduce(AllowedRegions.ANY, AllowedRegions::and);
	}

	/**
	 * Whether any route or account is restricted to regions.
	 * @return true if one is
	 */
	public boolean regionsRestricted() {
		return this.regionsRestricted;
	}

	/**
	 * The routes that allow none of some regions, whose requests are all refused.
	 * @param regions the regions in which there are data centres
	 * @return the names of the routes, in order
	 */
	public List<String> routesWithoutRegion(Collection<Region> regions) {
		return this.routesByHost.values()
			.stream()
			.flatMap(List::stream)
			.filter((route) -> route.allowedRegions().restricted()
					&& regions.stream().noneMatch((region) -> route.allowedRegions().allows(Optional.of(region))))
			.map(Route::name)
			.sorted()
			.toList();
	}

	private List<Route> routes(String host) {
		int port = host.lastIndexOf(':');
		String name = ((port >= 0) ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
		return this.routesByHost.getOrDefault(name, List.of());
	}

	public Optional<Service> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	public Collection<Service> services() {
		return this.services.values();
	}

	/**
	 * Whether callers of routes that aren't keyless need a key.
	 * @return true if the document has a list of client accounts, even an empty one
	 */
	public boolean keysNeeded() {
		return this.keysNeeded;
	}

	/**
	 * Finds the account of a key.
	 * @param key the key
	 * @return the account, if the key belongs to one
	 */
	public Optional<Account> account(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	public int keyCount() {
		return this.accountsByKey.size();
	}

	public CallerLimits limits() {
		return this.limits;
	}

	public int routeCount() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Builds a {@link Catalog}; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final long version;

		private final List<Route> routes = new ArrayList<>();

		private final Map<ServiceName, Service> services = new HashMap<>();

		private final Map<String, Account> accountsByKey = new HashMap<>();

		private boolean keysNeeded;

		private CallerLimits limits = CallerLimits.DEFAULT;

		private Builder(long version) {
			this.version = version;
		}

		public Builder route(Route route) {
			this.routes.add(route);
			return this;
		}

		public Builder service(Service service) {
			this.services.put(service.name(), service);
			return this;
		}

		/**
		 * Makes callers of routes that aren't keyless need a key, whether or not there
		 * are accounts.
		 * @return this builder
		 */
		public Builder keysNeeded() {
			this.keysNeeded = true;
			return this;
		}

		/**
		 * Adds an account. From then on callers need keys, even if the account has none.
		 * @param account the account
		 * @param keys its keys
		 * @return this builder
		 */
		public Builder account(Account account, Collection<String> keys) {
			keysNeeded();
			keys.forEach((key) -> this.accountsByKey.put(key, account));
			return this;
		}

		public Builder limits(CallerLimits value) {
			this.limits = value;
			return this;
		}

		public Catalog build() {
			return new Catalog(this);
		}

	}

}
