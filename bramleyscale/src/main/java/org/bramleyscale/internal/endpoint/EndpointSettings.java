package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * The settings of pool, owner and reservations.
 *
 * <p>
 * Invariant: all daemons of a fleet use the same values; a new owner waits for grants of
 * a former one by its own settings. Immutable and safe for use by multiple threads.
 */
public final class EndpointSettings {

	/** How many bytes a demand and its grant cost for one endpoint, names included. */
	static final int PAIR_BYTES = 140;

	/** What the frames of a demand and its grant cost beyond their items. */
	static final int EXCHANGE_BYTES = 50;

	/** What a report costs on the wire, both ways, with HTTP headers. */
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
	 * How many endpoints an entry uses at most over all services.
	 * @param members how many daemons there are
	 * @return the number
	 */
	public int maxPairs(int members) {
		return (smallFleet(members)) ? Integer.MAX_VALUE : this.maxPairs;
	}

	/**
	 * Whether a fleet is so small that every entry keeps in contact with every owner.
	 * @param members how many daemons there are
	 * @return true if neither endpoints in use nor bytes for control are limited
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
	 * How often an owner asks endpoints in use for their reports.
	 * @param endpoints how many it asks
	 * @param members how many daemons there are
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
	 * How often an entry sends demands, so that in a large fleet demands and grants stay
	 * within the bytes allowed for them.
	 * @param pairs how many endpoints it uses
	 * @param members how many daemons there are
	 * @return the period in milliseconds
	 */
	public int periodMillis(int pairs, int members) {
		if (smallFleet(members)) {
			return (int) this.demandPeriod.toMillis();
		}
		long bytes = (long) pairs * (PAIR_BYTES + EXCHANGE_BYTES);
		long needed = 1_000L * bytes / this.controlBytesPerSecond;
		return (int) Math.max(this.demandPeriod.toMillis(), Math.min(MAX_PERIOD_MILLIS, needed));
	}

	/**
	 * How long a grant is good for an entry that sends demands so often.
	 * @param periodMillis the entry's period
	 * @return the lifetime in milliseconds
	 */
	public int lifetimeMillis(int periodMillis) {
		int bounded = Math.max(0, Math.min(MAX_PERIOD_MILLIS, periodMillis));
		int renewable = RENEWALS_PER_LIFETIME * bounded + LIFETIME_MARGIN_MILLIS;
		return Math.max((int) this.grantLifetime.toMillis(), renewable);
	}

	/**
	 * The longest lifetime of a grant when entries use at most so many endpoints.
	 * @param endpoints how many endpoints the register has
	 * @param members how many daemons there are
	 * @return the lifetime in milliseconds
	 */
	public int longestLifetimeMillis(int endpoints, int members) {
		return lifetimeMillis(periodMillis(Math.min(endpoints, this.maxPairs), members));
	}

	/**
	 * Collects settings; not safe for use by multiple threads.
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
		 * Sets how many endpoints of each service an entry uses at most.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder subsetSize(int value) {
			this.subsetSize = (int) positive("subset size", value);
			return this;
		}

		/**
		 * Sets how many endpoints an entry of a large fleet uses at most over all
		 * services.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder maxPairs(int value) {
			this.maxPairs = (int) positive("number of endpoints in use", value);
			return this;
		}

		/**
		 * Sets up to how many daemons neither the endpoints in use nor the bytes for
		 * demands and grants are limited.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder smallFleet(int value) {
			this.smallFleet = (int) positive("number of daemons of a small fleet", value);
			return this;
		}

		/**
		 * Sets the bytes a second that demands and grants of an entry may cost in a large
		 * fleet.
		 * @param value the bytes, at least 1
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
		 * Sets the KV tokens that an entry may use before it has heard any grant.
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
