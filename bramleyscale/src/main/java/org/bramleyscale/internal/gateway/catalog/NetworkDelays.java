package org.bramleyscale.internal.gateway.catalog;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.DataCentre;

/**
 * The network delays between data centres, as configured by the operator.
 *
 * <p>
 * Delays are symmetric. A pair of data centres for which none is given counts as far
 * apart as the farthest pair, so that an incomplete list doesn't make an unknown data
 * centre look near. Immutable and safe for use by multiple threads. <pre>
 * NetworkDelays delays = NetworkDelays.builder().oneWay(east, west, 4.4).build();
 * double millis = delays.roundTripMillis(east, west);
 * </pre>
 */
public final class NetworkDelays {

	/** No delays are given, so all data centres count as equally near. */
	public static final NetworkDelays NONE = builder().build();

	private final Map<Set<DataCentre>, Double> oneWayMillis;

	private final double farthestMillis;

	private NetworkDelays(Builder builder) {
		this.oneWayMillis = Map.copyOf(builder.oneWayMillis);
		this.farthestMillis = this.oneWayMillis.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Whether any delay is given.
	 * @return false if all data centres count as equally near
	 */
	public boolean given() {
		return !this.oneWayMillis.isEmpty();
	}

	/**
	 * The data centres for which delays are given.
	 * @return the data centres, ordered by name
	 */
	public List<DataCentre> dataCentres() {
		return this.oneWayMillis.keySet()
			.stream()
			.flatMap(Set::stream)
			.distinct()
			.sorted(Comparator.comparing(DataCentre::value))
			.toList();
	}

	/**
	 * The time that a message and its answer spend on the network.
	 * @param first a data centre
	 * @param second the other one
	 * @return the time, ms; 0 within a data centre
	 */
	public double roundTripMillis(DataCentre first, DataCentre second) {
		if (!given() || first.equals(second)) {
			return 0;
		}
		return 2 * this.oneWayMillis.getOrDefault(Set.of(first, second), this.farthestMillis);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof NetworkDelays that && this.oneWayMillis.equals(that.oneWayMillis);
	}

	@Override
	public int hashCode() {
		return this.oneWayMillis.hashCode();
	}

	@Override
	public String toString() {
		return this.oneWayMillis.toString();
	}

	/**
	 * Builds {@link NetworkDelays}; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Map<Set<DataCentre>, Double> oneWayMillis = new HashMap<>();

		private Builder() {
		}

		/**
		 * Adds a delay. If the two directions of a pair differ, the longer one counts;
		 * the delay of a data centre to itself is ignored.
		 * @param source a data centre
		 * @param target the other one
		 * @param millis the delay in one direction, ms
		 * @return this builder
		 * @throws IllegalArgumentException if the delay isn't a number of at least 0
		 */
		public Builder oneWay(DataCentre source, DataCentre target, double millis) {
			if (!(millis >= 0) || Double.isInfinite(millis)) {
				throw new IllegalArgumentException("the delay between data centres " + source + " and " + target
						+ " must be at least 0 ms, was " + millis);
			}
			if (!source.equals(target)) {
				this.oneWayMillis.merge(Set.of(source, target), millis, Math::max);
			}
			return this;
		}

		public NetworkDelays build() {
			return new NetworkDelays(this);
		}

	}

}
