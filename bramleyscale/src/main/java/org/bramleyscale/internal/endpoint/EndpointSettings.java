package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * The settings of the endpoint pool, owner and reservations.
 *
 * <p>
 * Invariant: all daemons of a fleet use the same values; a new owner computes from its
 * own settings how long to wait until the grants of the previous owner have expired.
 * Immutable and safe for use by multiple threads.
 */
public final class EndpointSettings {

	/** Bytes of a demand item and its grant item for one endpoint, names included. */
	static final int BYTES_PER_ENDPOINT = 140;

	/** Bytes of the frames of a demand and its grant, without their items. */
	static final int FRAME_OVERHEAD_BYTES = 50;

	/** Bytes of a report on the wire, request and response with HTTP headers. */
	private static final int REPORT_BYTES = 500;

	private static final int REPORT_BYTES_PER_SECOND = 1_500;

	private static final int MAX_PERIOD_MILLIS = 2_000;

	private static final int RENEWALS_PER_LIFETIME = 2;

	private static final int LIFETIME_MARGIN_MILLIS = 500;

	private final int subsetSize;

	private final int maxPairs;

	private final int controlBytesPerSecond;

	private final int smallFleet;

	private final Duration demandPeriod;

	private final Duration idlePeriod;

	private final Duration grantLifetime;

	private final Duration reportPeriod;

	private final Duration reportIdlePeriod;

	private final long floorKvTokens;

	private EndpointSettings(Builder builder) {
		this.subsetSize = builder.subsetSize;
		this.maxPairs = builder.maxPairs;
		this.smallFleet = builder.smallFleet;
		this.controlBytesPerSecond = builder.controlBytesPerSecond;
		this.demandPeriod = builder.demandPeriod;
		this.idlePeriod = builder.idlePeriod;
		this.grantLifetime = builder.grantLifetime;
		this.reportPeriod = builder.reportPeriod;
		this.reportIdlePeriod = builder.reportIdlePeriod;
		this.floorKvTokens = builder.floorKvTokens;
	}

	public static EndpointSettings defaults() {
		return builder().build();
	}

	public static Builder builder() {
		return new Builder();
	}

	public int subsetSize() {
		return this.subsetSize;
	}

	/**
	 * Returns the maximum number of endpoints that an entry uses over all services.
	 * @param members the number of daemons
	 * @return the maximum, {@link Integer#MAX_VALUE} in a small fleet
	 */
	public int maxPairs(int members) {
		return (smallFleet(members)) ? Integer.MAX_VALUE : this.maxPairs;
	}

	/**
	 * Returns whether a fleet is small enough for every entry to stay in contact with
	 * every owner.
	 * @param members the number of daemons
	 * @return true if neither the endpoints in use nor the control traffic is limited
	 */
	public boolean smallFleet(int members) {
		return members <= this.smallFleet;
	}

	public Duration demandPeriod() {
		return this.demandPeriod;
	}

	public Duration idlePeriod() {
		return this.idlePeriod;
	}

	/**
	 * Returns the interval at which an owner polls the endpoints in use for their load
	 * reports.
	 * @param endpoints the number of endpoints it polls
	 * @param members the number of daemons
	 * @return the period
	 */
	public Duration reportPeriod(int endpoints, int members) {
		Duration affordable = Duration.ofMillis(1_000L * endpoints * REPORT_BYTES / REPORT_BYTES_PER_SECOND);
		boolean limited = !smallFleet(members) && affordable.compareTo(this.reportPeriod) > 0;
		return limited ? affordable : this.reportPeriod;
	}

	public Duration reportIdlePeriod() {
		return this.reportIdlePeriod;
	}

	public long floorKvTokens() {
		return this.floorKvTokens;
	}

	/**
	 * Returns the interval at which an entry sends demands, chosen so that in a large
	 * fleet demands and grants stay within the byte rate allowed for them.
	 * @param pairs the number of endpoints the entry uses
	 * @param members the number of daemons
	 * @return the period in milliseconds
	 */
	public int periodMillis(int pairs, int members) {
		if (smallFleet(members)) {
			return (int) this.demandPeriod.toMillis();
		}
		long bytes = (long) pairs * (BYTES_PER_ENDPOINT + FRAME_OVERHEAD_BYTES);
		long needed = 1_000L * bytes / this.controlBytesPerSecond;
		return (int) Math.max(this.demandPeriod.toMillis(), Math.min(MAX_PERIOD_MILLIS, needed));
	}

	/**
	 * Returns how long a grant is valid for an entry with the given demand period.
	 * @param periodMillis the entry's demand period
	 * @return the lifetime in milliseconds
	 */
	public int lifetimeMillis(int periodMillis) {
		int bounded = Math.max(0, Math.min(MAX_PERIOD_MILLIS, periodMillis));
		int renewable = RENEWALS_PER_LIFETIME * bounded + LIFETIME_MARGIN_MILLIS;
		return Math.max((int) this.grantLifetime.toMillis(), renewable);
	}

	/**
	 * Returns the longest lifetime that a grant can have.
	 * @param endpoints the number of endpoints in the register
	 * @param members the number of daemons
	 * @return the lifetime in milliseconds
	 */
	public int longestLifetimeMillis(int endpoints, int members) {
		return lifetimeMillis(periodMillis(Math.min(endpoints, this.maxPairs), members));
	}

	/**
	 * Builds {@link EndpointSettings}. Not safe for use by multiple threads.
	 */
	public static final class Builder {

		private int subsetSize = 30;

		private int maxPairs = 24;

		private int smallFleet = 64;

		private int controlBytesPerSecond = 1_800;

		private Duration demandPeriod = Duration.ofMillis(250);

		private Duration idlePeriod = Duration.ofMillis(2_500);

		private Duration grantLifetime = Duration.ofSeconds(2);

		private Duration reportPeriod = Duration.ofSeconds(1);

		private Duration reportIdlePeriod = Duration.ofSeconds(5);

		private long floorKvTokens = 32_768;

		private Builder() {
		}

		/**
		 * Sets the maximum number of endpoints of each service that an entry uses.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder subsetSize(int value) {
			this.subsetSize = (int) positive("subset size", value);
			return this;
		}

		/**
		 * Sets the maximum number of endpoints that an entry of a large fleet uses over
		 * all services.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder maxPairs(int value) {
			this.maxPairs = (int) positive("number of endpoints in use", value);
			return this;
		}

		/**
		 * Sets the largest number of daemons for which neither the endpoints in use nor
		 * the byte rate of demands and grants is limited.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder smallFleet(int value) {
			this.smallFleet = (int) positive("number of daemons of a small fleet", value);
			return this;
		}

		/**
		 * Sets the byte rate of an entry's demands and grants in a large fleet.
		 * @param value bytes a second, at least 1
		 * @return this builder
		 */
		public Builder controlBytesPerSecond(int value) {
			this.controlBytesPerSecond = (int) positive("control bytes a second", value);
			return this;
		}

		public Builder demandPeriod(Duration value) {
			this.demandPeriod = positive("demand period", value);
			return this;
		}

		public Builder idlePeriod(Duration value) {
			this.idlePeriod = positive("idle period", value);
			return this;
		}

		public Builder grantLifetime(Duration value) {
			this.grantLifetime = positive("grant lifetime", value);
			return this;
		}

		public Builder reportPeriod(Duration value) {
			this.reportPeriod = positive("report period", value);
			return this;
		}

		public Builder reportIdlePeriod(Duration value) {
			this.reportIdlePeriod = positive("idle report period", value);
			return this;
		}

		/**
		 * Sets the KV tokens that an entry may use before it receives any grant.
		 * @param value the tokens, at least 1
		 * @return this builder
		 */
		public Builder floorKvTokens(long value) {
			this.floorKvTokens = positive("floor of KV tokens", value);
			return this;
		}

		public EndpointSettings build() {
			return new EndpointSettings(this);
		}

		private static long positive(String name, long value) {
			if (value < 1) {
				throw new IllegalArgumentException(name + " must be at least 1, was " + value);
			}
			return value;
		}

		private static Duration positive(String name, Duration value) {
			if (value == null || value.isZero() || value.isNegative()) {
				throw new IllegalArgumentException(name + " must be longer than zero, was " + value);
			}
			return value;
		}

	}

}
