package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;

import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Slope;

/**
 * Bytes of heap for each entry of a daemon's state.
 *
 * <p>
 * Heap is taken as the difference between a fleet of more and one of fewer daemons, so
 * that what all daemons share in one process, such as the platform stand-in, drops out.
 * Not safe for use by multiple threads.
 */
final class StateCosts {

	private static final int FEW = 2;

	private static final int MANY = 6;

	private static final int SMALL = 50;

	private static final int REQUESTS_TO_WARM_UP = 5_000;

	private static final Duration BATCH = Duration.ofMillis(20);

	private static final Duration ALL_ENDED = Duration.ofSeconds(5);

	private static final Duration RECORDS_DROPPED = Duration.ofMinutes(3);

	private static final String BYTES = "B";

	private final Figures figures;

	private final long seed;

	StateCosts(Figures figures, long seed) {
		this.figures = figures;
		this.seed = seed;
	}

	void measure() {
		// Classes and compiled code would else count as state of the first fleet.
		requests(REQUESTS_TO_WARM_UP, false, RECORDS_DROPPED);
		heap(new FleetSize(1, MANY, SMALL, SMALL));
		slope("configuration", "heap of a daemon, by client accounts", "account",
				new int[] { 2_000, 4_000, 8_000, 13_000 },
				(count) -> perDaemon((daemons) -> new FleetSize(1, daemons, SMALL, count)));
		slope("configuration", "heap of a daemon, by endpoints", "endpoint", new int[] { 2_000, 4_000, 8_000, 12_000 },
				(count) -> perDaemon((daemons) -> new FleetSize(1, daemons, count, SMALL)));
		slope("membership", "heap of a daemon, by members of its data centre", "member", new int[] { 17, 34, 68, 136 },
				(count) -> (double) heap(new FleetSize(1, count, FEW, FEW)) / count);
		slope("request", "heap of a daemon, by kept records of 16 tokens", "record",
				new int[] { 2_000, 4_000, 8_000, 16_000 }, (count) -> requests(count, true, ALL_ENDED));
		slope("request", "heap of a daemon, by spent ids that callers chose", "id",
				new int[] { 24_000, 48_000, 96_000 }, (count) -> requests(count, false, RECORDS_DROPPED));
	}

	private void slope(String duty, String what, String per, int[] sizes, IntToDoubleFunction cost) {
		Map<Integer, Double> costs = new TreeMap<>();
		for (int size : sizes) {
			costs.put(size, cost.applyAsDouble(size));
		}
		this.figures.add(duty, what, Slope.of(costs), BYTES, per);
	}

	private double perDaemon(IntFunction<FleetSize> size) {
		return (double) (heap(size.apply(MANY)) - heap(size.apply(FEW))) / (MANY - FEW);
	}

	private long heap(FleetSize size) {
		return HeapProbe.retained(() -> {
			SliceFleet fleet = SliceFleet.start(size, this.seed, false);
			fleet.advance(Duration.ofSeconds(70));
			return fleet;
		});
	}

	private double requests(int count, boolean repeatable, Duration after) {
		SliceFleet fleet = SliceFleet.start(new FleetSize(1, 1, SMALL, SMALL), this.seed, false);
		return HeapProbe.retained(() -> {
			for (int i = 0; i < count; i++) {
				fleet.send(i % SMALL, repeatable);
				if (i % SMALL == 0) {
					fleet.advance(BATCH);
				}
			}
			fleet.advance(after);
			return fleet;
		});
	}

}
