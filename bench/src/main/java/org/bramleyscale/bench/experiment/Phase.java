package org.bramleyscale.bench.experiment;

/**
 * A time in which more or fewer requests of a kind arrive.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param kind the kind's name
 * @param fromSeconds when it begins
 * @param toSeconds when it ends
 * @param factor by which the kind's rate is multiplied
 */
record Phase(String kind, double fromSeconds, double toSeconds, double factor) {

	boolean covers(String name, double seconds) {
		return this.kind.equals(name) && seconds >= this.fromSeconds && seconds < this.toSeconds;
	}

}
