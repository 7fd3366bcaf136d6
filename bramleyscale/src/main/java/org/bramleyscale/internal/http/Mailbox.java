package org.bramleyscale.internal.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Hands events of HTTP threads to the scheduler's thread, many at a time.
 *
 * <p>
 * Under load one wake-up of the scheduler's thread then carries the events of many
 * connections. Invariant: events posted by one thread run in their order; an event that
 * fails doesn't keep later ones from running. {@link #post} is safe for use by multiple
 * threads.
 */
final class Mailbox {

	private static final Logger logger = Logger.getLogger(Mailbox.class);

	/** So many events run before other tasks of the scheduler get their turn. */
	private static final int LARGEST_BATCH = 256;

	private final Scheduler scheduler;

	private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean scheduled = new AtomicBoolean();

	Mailbox(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	void post(Runnable event) {
		this.events.add(event);
		schedule();
	}

	private void schedule() {
		if (this.scheduled.compareAndSet(false, true)) {
			this.scheduler.execute(this::drain);
		}
	}

	private void drain() {
		this.scheduled.set(false);
		for (int i = 0; i < LARGEST_BATCH; i++) {
			Runnable event = this.events.poll();
			if (event == null) {
				return;
			}
			run(event);
		}
		schedule();
	}

	private static void run(Runnable event) {
		try {
			event.run();
		}
		catch (RuntimeException ex) {
			logger.error("An event of a connection failed", ex);
		}
	}

}
