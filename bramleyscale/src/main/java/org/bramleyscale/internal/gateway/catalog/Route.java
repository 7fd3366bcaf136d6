package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.ServiceName;

/**
 * Where requests of one host and path prefix go, and what may be done with them.
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

	private final Duration patience;

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
		this.patience = builder.patience;
	}

	/**
	 * Starts a route.
	 * @param name the route's name, for logs
	 * @param host the host whose requests it takes, in lower case
	 * @param pathPrefix the prefix of the paths that it takes
	 * @return a builder with no services, at most once and one attempt
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
	 * Whether a stream may go on at another endpoint after its last whole event.
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
	 * @return true if anybody may use the route
	 */
	public boolean keyless() {
		return this.keyless;
	}

	/**
	 * On how many endpoints one request may run.
	 * @return the number, at least 1
	 */
	public int maxAttempts() {
		return this.maxAttempts;
	}

	/**
	 * The rank of the route's requests.
	 * @return 0 for the most urgent
	 */
	public int priority() {
		return this.priority;
	}

	/**
	 * How long the operator lets a request wait for its answer to end.
	 * @return the time
	 */
	public Duration timeout() {
		return this.timeout;
	}

	/**
	 * The time to the answer, or to a stream's first event, that callers hope for.
	 * @return the time
	 */
	public Duration targetLatency() {
		return this.targetLatency;
	}

	/**
	 * The longest pause between two events that callers don't mind.
	 * @return the pause; zero where the route doesn't stream
	 */
	public Duration longestPause() {
		return this.longestPause;
	}

	/**
	 * How long callers wait for the first event, or for the next, before they leave.
	 * @return the time
	 */
	public Duration patience() {
		return this.patience;
	}

	@Override
	public String toString() {
		return this.name;
	}

	/**
	 * Collects what a route is; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private static final Duration LONG = Duration.ofMinutes(1);

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

		private Duration timeout = LONG;

		private Duration targetLatency = LONG;

		private Duration longestPause = Duration.ZERO;

		private Duration patience = LONG;

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

		public Builder patience(Duration value) {
			this.patience = value;
			return this;
		}

		/**
		 * Makes the route.
		 * @return the route
		 * @throws IllegalArgumentException if it has no service or less than one attempt
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
