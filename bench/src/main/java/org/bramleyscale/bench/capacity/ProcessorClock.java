package org.bramleyscale.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * Measures the processor time of the calling thread, which other load on the machine
 * disturbs far less than elapsed time.
 *
 * <p>
 * Safe for use by multiple threads.
 */
final class ProcessorClock {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private static final int ROUNDS = 7;

	private static final long ROUND_NANOS = 60_000_000;

	private ProcessorClock() {
	}

	static long nanos(Runnable work) {
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return THREADS.getCurrentThreadCpuTime() - before;
	}

	/**
	 * The processor time of one call, as the median of several rounds after warming up.
	 * @param call the call
	 * @return nanoseconds
	 */
	static double nanosPerCall(Runnable call) {
		int calls = 1;
		while (nanos(repeated(call, calls)) < ROUND_NANOS) {
			calls *= 2;
		}
		double[] rounds = new double[ROUNDS];
		for (int i = 0; i < ROUNDS; i++) {
			rounds[i] = (double) nanos(repeated(call, calls)) / calls;
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2];
	}

	private static Runnable repeated(Runnable call, int times) {
		return () -> {
			for (int i = 0; i < times; i++) {
				call.run();
			}
		};
	}

}
