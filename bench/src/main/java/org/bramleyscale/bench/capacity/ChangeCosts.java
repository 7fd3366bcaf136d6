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

	private static final int[] ACCOUNTS = { 1_000, 2_000, 4_000, 8_000 };

	private static final int DAEMONS = 8;

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
		Map<Integer, Double> micros = new TreeMap<>();
		Map<Integer, Double> bytes = new TreeMap<>();
		for (int accounts : ACCOUNTS) {
			SliceFleet fleet = SliceFleet.start(new FleetSize(1, DAEMONS, ENDPOINTS, accounts), this.seed, false);
			changes(fleet, WARM_UP);
			long idleNanos = ProcessorClock.nanos(() -> fleet.advance(PAUSE.multipliedBy(CHANGES)));
			long idleBytes = sent(fleet, () -> fleet.advance(PAUSE.multipliedBy(CHANGES)));
			long[] nanos = new long[1];
			long sent = sent(fleet, () -> nanos[0] = ProcessorClock.nanos(() -> changes(fleet, CHANGES)));
			micros.put(accounts, (nanos[0] - idleNanos) / 1e3 / CHANGES / DAEMONS);
			bytes.put(accounts, (double) (sent - idleBytes) / CHANGES / DAEMONS);
		}
		this.figures.add(DUTY, "processor time of a daemon for one change", Slope.of(micros), "us", "account");
		this.figures.add(DUTY, "bytes sent by a daemon for one change", Slope.of(bytes), "B", "account");
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

}
