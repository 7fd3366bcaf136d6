package org.bramleyscale.internal.endpoint.pool;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Tells that room may have appeared once owners had their time to answer first demands.
 * If they are silent, nothing else would wake the requests that wait.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class FirstAnswers {

	private final Scheduler scheduler;

	private final Runnable room;

	private boolean awaiting;

	FirstAnswers(Scheduler scheduler, Runnable room) {
		this.scheduler = scheduler;
		this.room = room;
	}

	void await() {
		if (!this.awaiting) {
			this.awaiting = true;
			this.scheduler.schedule(HeldShare.FIRST_ANSWER.plusMillis(1), this::over);
		}
	}

	private void over() {
		this.awaiting = false;
		this.room.run();
	}

}
