package org.bramleyscale.bench.capacity;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/**
 * Measures how many bytes of heap an object graph keeps.
 *
 * <p>
 * Each figure is the difference between the heap in use before and after, each time after
 * several collections, so graphs should be of at least some hundred kilobytes. Used by
 * one thread, with no other work in the process.
 */
final class HeapProbe {

	private static final int COLLECTIONS = 3;

	private HeapProbe() {
	}

	static long retained(Supplier<?> graph) {
		long before = used();
		Object made = graph.get();
		long after = used();
		Reference.reachabilityFence(made);
		return after - before;
	}

	private static long used() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
