package org.bramleyscale.internal.routing;

import java.util.Comparator;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import com.google.common.hash.Hashing;
import org.bramleyscale.EndpointId;

/**
 * The order in which all daemons sort the endpoints of a pool before they partition it
 * into lanes. The short lane starts at one end, the long lane at the other.
 *
 * <p>
 * Stateless.
 */
public final class LaneOrder {

	private static final double CLASSES_PER_OCTAVE = 4;

	private LaneOrder() {
	}

	/**
	 * Orders from the short end to the long end: faster classes first, since they improve
	 * the time to first token of short prompts most, then by a hash of the endpoint's
	 * name.
	 * @param <T> the type of the elements
	 * @param endpoint returns the endpoint of an element
	 * @param speed returns the speed of an element's endpoint
	 * @param medianSpeed the median speed of the pool
	 * @return the comparator
	 */
	public static <T> Comparator<T> comparing(Function<T, EndpointId> endpoint, ToDoubleFunction<T> speed,
			double medianSpeed) {
		return Comparator.<T>comparingInt((item) -> -speedClass(speed.applyAsDouble(item), medianSpeed))
			.thenComparingLong((item) -> hash(endpoint.apply(item)));
	}

	/**
	 * Returns the class of a speed. Classes are wide enough that the estimates for
	 * equally fast endpoints fall into the same one.
	 * @param speed the speed
	 * @param medianSpeed the median speed of the pool
	 * @return 0 for about the median speed, 4 for about twice that
	 */
	static int speedClass(double speed, double medianSpeed) {
		return (int) Math.round(CLASSES_PER_OCTAVE * Math.log(speed / medianSpeed) / Math.log(2));
	}

	static long hash(EndpointId endpoint) {
		return Hashing.murmur3_128().hashUnencodedChars(endpoint.value()).asLong();
	}

}
