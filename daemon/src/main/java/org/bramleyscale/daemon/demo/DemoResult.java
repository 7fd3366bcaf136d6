package org.bramleyscale.daemon.demo;

import java.util.Map;

import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.bramleyscale.daemon.demo.load.Tally;

/**
 * The demonstration's closing line.
 *
 * @param issued requests that callers made
 * @param admitted requests that the system took
 * @param completed requests with their whole, right answer
 * @param failed requests that the system said failed
 * @param refusedNotRun requests that the system said did not run
 * @param unknown requests that the system said may have run
 * @param lost requests without an end or with a wrong answer, and bookings told as done
 * that never ran
 * @param doubled bookings that ran more than once
 * @param refusedButRan bookings refused as not run that ran
 * @param bookings bookings made
 * @param firstTokenMillis times to the first token by prompt length
 * @param timeToForceMillis the time from sending a change to all daemons holding it; -1
 * if it did not get that far
 * @param seconds how long requests were sent
 * @param seed the seed of the load
 */
record DemoResult(int issued, int admitted, int completed, int failed, int refusedNotRun, int unknown, int lost,
		int doubled, int refusedButRan, int bookings, Map<String, Tally.Percentiles> firstTokenMillis,
		long timeToForceMillis, int seconds, long seed) {

	static DemoResult of(Tally tally, Tally.BookingAudit audit, long timeToForceMillis, int seconds, long seed) {
		return new DemoResult(tally.issued(), tally.admitted(), tally.count(Outcome.COMPLETED),
				tally.count(Outcome.FAILED), tally.count(Outcome.REFUSED_NOT_RUN), tally.count(Outcome.UNKNOWN),
				tally.count(Outcome.LOST) + audit.lost(), audit.doubled(), audit.refusedButRan(), audit.bookings(),
				tally.firstTokenMillis(), timeToForceMillis, seconds, seed);
	}

	/**
	 * Whether what must always hold did hold.
	 * @return true if nothing was lost, doubled or refused falsely
	 */
	boolean good() {
		return this.lost == 0 && this.doubled == 0 && this.refusedButRan == 0;
	}

}
