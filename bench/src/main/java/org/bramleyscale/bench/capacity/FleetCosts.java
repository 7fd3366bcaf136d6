package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Slope;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerProtocolException;
import org.bramleyscale.standins.platform.PlatformOperation;

/**
 * What whole fleets cost for control, by their size, idle and under load.
 *
 * <p>
 * The processor time holds the network between the daemons of one thread, whose cost
 * grows with the fleet, so its slope is an upper bound. Not safe for use by multiple
 * threads.
 */
final class FleetCosts {

	private static final Duration SETTLE = Duration.ofSeconds(10);

	private static final Duration ALL_ENDED = Duration.ofSeconds(5);

	private static final Duration SPAN = Duration.ofSeconds(15);

	/** Requests a second for each daemon at the target: 51,000 by 1,700. */
	private static final int LOAD = 30;

	private static final String CONTROL = "control";

	private static final String PLATFORM = "platform";

	private final Figures figures;

	private final long seed;

	FleetCosts(Figures figures, long seed) {
		this.figures = figures;
		this.seed = seed;
	}

	/**
	 * Measures fleets of growing size.
	 * @param sizes the sizes, in growing order
	 * @param name names the series
	 */
	void measure(List<FleetSize> sizes, String name) {
		Map<Integer, Double> idleBytes = new TreeMap<>();
		Map<Integer, Double> loadBytes = new TreeMap<>();
		Map<Integer, Double> writes = new TreeMap<>();
		Map<Integer, Double> reads = new TreeMap<>();
		for (FleetSize size : sizes) {
			SliceFleet fleet = SliceFleet.start(size, this.seed, false);
			fleet.advance(SETTLE);
			String at = name + ", " + size.daemons() + " daemons in " + size.dataCentres();
			Window idle = window(fleet, 0);
			add(idle, at + ", idle");
			fleet.load(LOAD, SETTLE);
			Window load = window(fleet, LOAD);
			add(load, at + ", " + LOAD + " requests/s each");
			fleet.advance(ALL_ENDED);
			this.figures.add("request", at + ", not completed", fleet.counts().missing(), "requests");
			idleBytes.put(size.daemons(), idle.medianBytes());
			loadBytes.put(size.daemons(), load.medianBytes());
			writes.put(size.daemons(), load.writes());
			reads.put(size.daemons(), load.reads());
		}
		this.figures.add(CONTROL, name + ", bytes sent/s, idle", Slope.of(idleBytes), "B/s", "daemon");
		this.figures.add(CONTROL, name + ", bytes sent/s, load", Slope.of(loadBytes), "B/s", "daemon");
		this.figures.add(PLATFORM, name + ", writes/s", Slope.of(writes), "1/s", "daemon");
		this.figures.add(PLATFORM, name + ", reads/s", Slope.of(reads), "1/s", "daemon");
	}

	/**
	 * Counts the messages of one fleet by type, and measures what coding each costs.
	 * @param size the size
	 */
	void census(FleetSize size) {
		SliceFleet fleet = SliceFleet.start(size, this.seed, true);
		fleet.load(LOAD, SETTLE);
		fleet.census().reset();
		fleet.change();
		fleet.load(LOAD, SPAN);
		double daemonSeconds = SPAN.toSeconds() * size.daemons();
		fleet.census().counts().forEach((type, count) -> {
			String name = type.getSimpleName();
			this.figures.add(CONTROL, name + ", sent by each daemon", count.messages() / daemonSeconds, "1/s");
			this.figures.add(CONTROL, name + ", on the wire", (double) count.bytes() / count.messages(), "B");
			this.figures.add(CONTROL, name + ", encode and decode", codecNanos(fleet.codec(), count.largest()), "ns");
		});
	}

	private void add(Window window, String at) {
		this.figures.add(CONTROL, at + ", bytes sent/s, median daemon", window.medianBytes(), "B/s");
		this.figures.add(CONTROL, at + ", bytes sent/s, largest daemon", window.largestBytes(), "B/s");
		this.figures.add(CONTROL, at + ", processor time", window.processorShare() * 100, "% of a core");
		this.figures.add("endpoint owner", at + ", reports read", window.reports(), "1/s");
		window.calls().forEach((operation, calls) -> this.figures.add(PLATFORM, at + ", " + operation, calls, "1/s"));
	}

	private static Window window(SliceFleet fleet, int load) {
		List<Long> bytesBefore = fleet.bytesSent();
		long reportsBefore = fleet.engines().reports();
		Map<PlatformOperation, Long> callsBefore = fleet.platformCalls();
		long nanos = ProcessorClock.nanos((load > 0) ? () -> fleet.load(load, SPAN) : () -> fleet.advance(SPAN));
		List<Double> bytes = new ArrayList<>();
		for (int i = 0; i < bytesBefore.size(); i++) {
			bytes.add((double) (fleet.bytesSent().get(i) - bytesBefore.get(i)) / SPAN.toSeconds());
		}
		bytes.sort(null);
		Map<PlatformOperation, Double> calls = new TreeMap<>();
		fleet.platformCalls()
			.forEach((operation, count) -> calls.put(operation,
					(double) (count - callsBefore.getOrDefault(operation, 0L)) / SPAN.toSeconds()));
		return new Window(bytes.get(bytes.size() / 2), bytes.get(bytes.size() - 1),
				(double) nanos / SPAN.toNanos() / bytes.size(),
				(double) (fleet.engines().reports() - reportsBefore) / SPAN.toSeconds() / bytes.size(), calls);
	}

	private static double codecNanos(MessageCodec codec, PeerMessage message) {
		byte[] encoded = codec.encode(message);
		return ProcessorClock.nanosPerCall(() -> {
			codec.encode(message);
			decode(codec, encoded);
		});
	}

	private static void decode(MessageCodec codec, byte[] encoded) {
		try {
			codec.decode("self", encoded);
		}
		catch (PeerProtocolException ex) {
			throw new IllegalStateException("the codec can't read what it wrote", ex);
		}
	}

	/**
	 * What a span of time cost.
	 *
	 * @param medianBytes bytes a second that the median daemon sent
	 * @param largestBytes bytes a second that the busiest daemon sent
	 * @param processorShare processor time of each daemon, as a share of one core
	 * @param reports load reports a second that each daemon read
	 * @param calls platform calls a second of the whole fleet
	 */
	private record Window(double medianBytes, double largestBytes, double processorShare, double reports,
			Map<PlatformOperation, Double> calls) {

		double writes() {
			return sum(true);
		}

		double reads() {
			return sum(false);
		}

		private double sum(boolean changes) {
			return this.calls.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().isWrite() == changes)
				.mapToDouble(Map.Entry::getValue)
				.sum();
		}

	}

}
