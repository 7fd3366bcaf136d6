package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.ServiceName;

/**
 * The services that requests of one host and path prefix are forwarded to, and the rules
 * for attempts, priority and time.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public final class Route {

	private final String name;

	private final String host;

	private final String pathPrefix;

	private final List<ServiceShare> services;

	private final boolean idempotent;

	private final boolean streaming;

	private final boolean resumable;

	private final boolean keyless;

	private final int maxAttempts;

	private final int priority;

	private final Duration timeout;

	private final Duration targetLatency;

	private final Duration longestPause;

	private final Duration callerTimeout;

	private final AllowedRegions allowedRegions;

	private Route(Builder builder) {
		this.name = builder.name;
		this.host = builder.host;
		this.pathPrefix = builder.pathPrefix;
		this.services = List.copyOf(builder.services);
		this.idempotent = builder.idempotent;
		this.streaming = builder.streaming;
		this.resumable = builder.resumable;
		this.keyless = builder.keyless;
		this.maxAttempts = builder.maxAttempts;
		this.priority = builder.priority;
		this.timeout = builder.timeout;
		this.targetLatency = builder.targetLatency;
		this.longestPause = builder.longestPause;
		this.callerTimeout = builder.callerTimeout;
		this.allowedRegions = builder.allowedRegions;
	}

	/**
	 * Creates a builder.
	 * @param name the route's name, for logs
	 * @param host the host that it matches, in lower case
	 * @param pathPrefix the path prefix that it matches
	 * @return a builder without services, for at-most-once execution and a single attempt
	 */
	public static Builder builder(String name, String host, String pathPrefix) {
		return new Builder(name, host, pathPrefix);
	}

	public String name() {
		return this.name;
	}

	public String host() {
		return this.host;
	}

	public String pathPrefix() {
		return this.pathPrefix;
	}

	/**
	 * The services that share the route's requests.
	 * @return the services with their weights; never empty
	 */
	public List<ServiceShare> services() {
		return this.services;
	}

	public boolean streaming() {
		return this.streaming;
	}

	/**
	 * Whether a stream may continue at another endpoint after its last complete event.
	 * @return true if it may
	 */
	public boolean resumable() {
		return this.resumable;
	}

	/**
	 * Whether a request may run more than once.
	 * @return true for idempotent requests and for streams that may be resumed
	 */
	public boolean repeatable() {
		return this.idempotent || (this.streaming && this.resumable);
	}

	/**
	 * Whether callers need no key.
	 * @return true if the route is public
	 */
	public boolean keyless() {
		return this.keyless;
	}

	/**
	 * The maximum number of endpoints that one request may run on.
	 * @return the number, at least 1
	 */
	public int maxAttempts() {
		return this.maxAttempts;
	}

	/**
	 * The priority of the route's requests.
	 * @return 0 for the most urgent
	 */
	public int priority() {
		return this.priority;
	}

	/**
	 * The maximum time until a request's answer is complete, as configured by the
	 * operator.
	 * @return the time
	 */
	public Duration timeout() {
		return this.timeout;
	}

	/**
	 * The target for the time to the answer, or to a stream's first event.
	 * @return the time
	 */
	public Duration targetLatency() {
		return this.targetLatency;
	}

	/**
	 * The longest acceptable pause between two events of a stream.
	 * @return the pause; zero if the route doesn't stream
	 */
	public Duration longestPause() {
		return this.longestPause;
	}

	/**
	 * How long callers wait for the first or the next event before they disconnect.
	 * @return the time
	 */
	public Duration callerTimeout() {
		return this.callerTimeout;
	}

	/**
	 * The regions in which the route's requests may run.
	 * @return the regions; an account may restrict them further
	 */
	public AllowedRegions allowedRegions() {
		return this.allowedRegions;
	}

	@Override
	public String toString() {
		return this.name;
	}

	/**
	 * Builds a {@link Route}; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private static final Duration DEFAULT_TIME = Duration.ofMinutes(1);

		private final String name;

		private final String host;

		private final String pathPrefix;

		private List<ServiceShare> services = List.of();

		private boolean idempotent;

		private boolean streaming;

		private boolean resumable;

		private boolean keyless;

		private int maxAttempts = 1;

		private int priority;

		private Duration timeout = DEFAULT_TIME;

		private Duration targetLatency = DEFAULT_TIME;

		private Duration longestPause = Duration.ZERO;

		private Duration callerTimeout = DEFAULT_TIME;

		private AllowedRegions allowedRegions = AllowedRegions.ANY;

		private Builder(String name, String host, String pathPrefix) {
			this.name = name;
			this.host = host;
			this.pathPrefix = pathPrefix;
		}

		public Builder services(List<ServiceShare> shares) {
			this.services = shares;
			return this;
		}

		public Builder service(String service) {
			return services(List.of(new ServiceShare(new ServiceName(service), 1)));
		}

		public Builder idempotent(boolean value) {
			this.idempotent = value;
			return this;
		}

		public Builder streaming(boolean value) {
			this.streaming = value;
			return this;
		}

		public Builder resumable(boolean value) {
			this.resumable = value;
			return this;
		}

		public Builder keyless(boolean value) {
			this.keyless = value;
			return this;
		}

		public Builder maxAttempts(int value) {
			this.maxAttempts = value;
			return this;
		}

		public Builder priority(int value) {
			this.priority = value;
			return this;
		}

		public Builder timeout(Duration value) {
			this.timeout = value;
			return this;
		}

		public Builder targetLatency(Duration value) {
			this.targetLatency = value;
			return this;
		}

		public Builder longestPause(Duration value) {
			this.longestPause = value;
			return this;
		}

		public Builder callerTimeout(Duration value) {
			this.callerTimeout = value;
			return this;
		}

		public Builder allowedRegions(AllowedRegions value) {
			this.allowedRegions = value;
			return this;
		}

		/**
		 * Creates the route.
		 * @return the route
		 * @throws IllegalArgumentException if it has no service or fewer than one attempt
		 */
		public Route build() {
			if (this.services.isEmpty()) {
				throw new IllegalArgumentException("route '" + this.name + "' must name a service");
			}
			if (this.maxAttempts < 1) {
				throw new IllegalArgumentException(
						"route '" + this.name + "' must allow at least 1 attempt, was " + this.maxAttempts);
			}
			return new Route(this);
		}

	}

}
