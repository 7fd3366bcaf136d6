package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.bramleyscale.internal.gateway.limit.ColdBounds;
import org.bramleyscale.internal.gateway.region.RegionMap;

/**
 * The features of a daemon that are active only if its settings ask for them.
 *
 * <p>
 * Immutable and safe for use by multiple threads. <pre>
 * GatewayFeatures features = GatewayFeatures.builder().regions(regions).build();
 * </pre>
 */
public final class GatewayFeatures {

	private static final Duration DEFAULT_LONGEST_PARTITION = Duration.ofSeconds(6);

	/** No feature is active. */
	public static final GatewayFeatures NONE = builder().build();

	private final RegionMap regions;

	private final Optional<Duration> evacuationLimit;

	private final Duration longestPartition;

	private final Optional<ColdBounds> coldBounds;

	private GatewayFeatures(Builder builder) {
		this.regions = builder.regions;
		this.evacuationLimit = builder.evacuationLimit;
		this.longestPartition = builder.longestPartition;
		this.coldBounds = builder.coldBounds;
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * The regions of data centres.
	 * @return the regions, empty if none is known
	 */
	public RegionMap regions() {
		return this.regions;
	}

	/**
	 * The time within which the evacuation of a data centre must be in force on every
	 * daemon.
	 * @return the time; empty if evacuations aren't followed
	 */
	public Optional<Duration> evacuationLimit() {
		return this.evacuationLimit;
	}

	/**
	 * The longest time for which the platform cuts single daemons off from its store.
	 * @return the time
	 */
	public Duration longestPartition() {
		return this.longestPartition;
	}

	/**
	 * How far the requests that cold endpoints receive may exceed what they tolerate.
	 * @return the bounds; empty if cold endpoints are treated like others
	 */
	public Optional<ColdBounds> coldBounds() {
		return this.coldBounds;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof GatewayFeatures that && this.regions.equals(that.regions)
				&& this.evacuationLimit.equals(that.evacuationLimit)
				&& this.longestPartition.equals(that.longestPartition) && this.coldBounds.equals(that.coldBounds);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.regions, this.evacuationLimit, this.longestPartition, this.coldBounds);
	}

	@Override
	public String toString() {
		return "regions=" + this.regions + ", evacuationLimit=" + this.evacuationLimit + ", coldBounds="
				+ this.coldBounds;
	}

	/**
	 * Builds {@link GatewayFeatures}; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private RegionMap regions = RegionMap.EMPTY;

		private Optional<Duration> evacuationLimit = Optional.empty();

		private Duration longestPartition = DEFAULT_LONGEST_PARTITION;

		private Optional<ColdBounds> coldBounds = Optional.empty();

		private Builder() {
		}

		public Builder regions(RegionMap value) {
			this.regions = value;
			return this;
		}

		/**
		 * Sets {@link GatewayFeatures#evacuationLimit()}.
		 * @param value the time, which must be positive, or empty
		 * @return this builder
		 */
		public Builder evacuationLimit(Optional<Duration> value) {
			value.ifPresent((limit) -> {
				if (limit.isNegative() || limit.isZero()) {
					throw new IllegalArgumentException("evacuationLimit must be positive, was " + limit);
				}
			});
			this.evacuationLimit = value;
			return this;
		}

		/**
		 * Sets {@link GatewayFeatures#longestPartition()}.
		 * @param value the time, which must be positive
		 * @return this builder
		 */
		public Builder longestPartition(Duration value) {
			if (value.isNegative() || value.isZero()) {
				throw new IllegalArgumentException("longestPartition must be positive, was " + value);
			}
			this.longestPartition = value;
			return this;
		}

		public Builder coldBounds(Optional<ColdBounds> value) {
			this.coldBounds = value;
			return this;
		}

		public GatewayFeatures build() {
			return new GatewayFeatures(this);
		}

	}

}
