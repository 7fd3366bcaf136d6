package org.bramleyscale.internal.endpoint.pool;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Runs a callback once owners have had their time to answer the first demands. If owners
 * do not respond, nothing else would make the waiting requests try again.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class FirstAnswerTimer {

	private final Scheduler scheduler;

	private final Runnable onCapacityAvailable;

	private boolean awaiting;

	FirstAnswerTimer(Scheduler scheduler, Runnable onCapacityAvailable) {
		this.scheduler = scheduler;
		this.onCapacityAvailable = onCapacityAvailable;
	}

	void await() {
		if (!this.awaiting) {
			this.awaiting = true;
			this.scheduler.schedule(HeldShare.FIRST_ANSWER_TIMEOUT.plusMillis(1), this::expired);
		}
	}

	private void expired() {
		this.awaiting = false;
		this.onCapacityAvailable.run();
	}

}
