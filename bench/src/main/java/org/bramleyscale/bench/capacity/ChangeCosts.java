package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Slope;

/**
 * What one change of the configuration costs each daemon, by the size of the
 * configuration.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class ChangeCosts {

	private static final int[] ACCOUNTS = { 2_000, 4_000, 8_000 };

	private static final int FEW = 4;

	private static final int MANY = 16;

	private static final int ENDPOINTS = 50;

	private static final int WARM_UP = 10;

	private static final int CHANGES = 20;

	private static final Duration PAUSE = Duration.ofSeconds(2);

	private static final String DUTY = "configuration";

	private final Figures figures;

	private final long seed;

	ChangeCosts(Figures figures, long seed) {
		this.figures = figures;
		this.seed = seed;
	}

	void measure() {
		Map<Integer, Double> each = new TreeMap<>();
		Map<Integer, Double> proposer = new TreeMap<>();
		Map<Integer, Double> bytes = new TreeMap<>();
		for (int accounts : ACCOUNTS) {
			Cost few = cost(new FleetSize(1, FEW, ENDPOINTS, accounts));
			Cost many = cost(new FleetSize(1, MANY, ENDPOINTS, accounts));
			double micros = (many.micros() - few.micros()) / (MANY - FEW);
			each.put(accounts, micros);
			proposer.put(accounts, few.micros() - FEW * micros);
			bytes.put(accounts, many.bytes() / MANY);
		}
		this.figures.add(DUTY, "processor time of a daemon for one change", Slope.of(each), "us", "account");
		this.figures.add(DUTY, "more at its proposer and the platform", Slope.of(proposer), "us", "account");
		this.figures.add(DUTY, "bytes sent by a daemon for one change", Slope.of(bytes), "B", "account");
	}

	private Cost cost(FleetSize size) {
		SliceFleet fleet = SliceFleet.start(size, this.seed, false);
		changes(fleet, WARM_UP);
		long idleBytes = sent(fleet, () -> fleet.advance(PAUSE.multipliedBy(CHANGES)));
		long idleNanos = ProcessorClock.nanos(() -> fleet.advance(PAUSE.multipliedBy(CHANGES)));
		long[] nanos = new long[1];
		long sent = sent(fleet, () -> nanos[0] = ProcessorClock.nanos(() -> changes(fleet, CHANGES)));
		return new Cost((nanos[0] - idleNanos) / 1e3 / CHANGES, (double) (sent - idleBytes) / CHANGES);
	}

	private static void changes(SliceFleet fleet, int count) {
		for (int i = 0; i < count; i++) {
			Duration spent = fleet.change();
			fleet.advance(PAUSE.minus(spent));
		}
	}

	private static long sent(SliceFleet fleet, Runnable work) {
		long before = sum(fleet.bytesSent());
		work.run();
		return sum(fleet.bytesSent()) - before;
	}

	private static long sum(List<Long> values) {
		return values.stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * What one change costs a whole fleet.
	 *
	 * @param micros processor time in microseconds
	 * @param bytes bytes on the wire between daemons
	 */
	private record Cost(double micros, double bytes) {
	}

}
