package org.bramleyscale.internal.routing;

import java.util.Comparator;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import com.google.common.hash.Hashing;
import org.bramleyscale.EndpointId;

/**
 * The order in which all daemons line up the endpoints of a pool: short work begins at
 * one end, long work at the other.
 *
 * <p>
 * Stateless.
 */
public final class LaneOrder {

	private static final double CLASSES_PER_OCTAVE = 4;

	private LaneOrder() {
	}

	/**
	 * Orders from the short end to the long end: faster classes first, since the time to
	 * first token of short prompts gains most from them, then by a hash of the name.
	 * @param <T> what is ordered
	 * @param endpoint its endpoint
	 * @param speed the endpoint's speed
	 * @param usualSpeed the speed in the middle of the pool
	 * @return the order
	 */
	public static <T> Comparator<T> comparing(Function<T, EndpointId> endpoint, ToDoubleFunction<T> speed,
			double usualSpeed) {
		return Comparator.<T>comparingInt((item) -> -speedClass(speed.applyAsDouble(item), usualSpeed))
			.thenComparingLong((item) -> hash(endpoint.apply(item)));
	}

	/**
	 * The class of a speed. Classes are wide enough for estimates of equal endpoints to
	 * fall into the same one.
	 * @param speed the speed
	 * @param usualSpeed the speed in the middle of the pool
	 * @return 0 for about the usual speed, 4 for about twice that
	 */
	static int speedClass(double speed, double usualSpeed) {
		return (int) Math.round(CLASSES_PER_OCTAVE * Math.log(speed / usualSpeed) / Math.log(2));
	}

	static long hash(EndpointId endpoint) {
		return Hashing.murmur3_128().hashUnencodedChars(endpoint.value()).asLong();
	}

}
