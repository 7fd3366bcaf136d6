package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Waits until a daemon that has just started has an address to return to callers.
 *
 * <p>
 * A daemon that starts on 0.12 of a core takes a second from its first open port to its
 * first answer, and callers wait that long for each of three daemons that they query for
 * addresses, while a closed port makes them try the next daemon at once. So the port for
 * addresses is opened after this wait. Used by one thread, which isn't the scheduler's.
 * <pre>
 * node.start();
 * node.firstAddresses().await();
 * </pre>
 */
public final class FirstAddresses {

	/**
	 * The interval between checks; short prompts have a total latency budget of 300 ms.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

	private static final Logger logger = Logger.getLogger(FirstAddresses.class);

	private final Scheduler scheduler;

	private final Supplier<List<String>> addresses;

	FirstAddresses(Scheduler scheduler, Supplier<List<String>> addresses) {
		this.scheduler = scheduler;
		this.addresses = addresses;
	}

	/**
	 * Waits until the daemon has an address to return, or until it would return one
	 * whatever daemons it has discovered.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void await() throws InterruptedException {
		long end = this.scheduler.nanos() + EntryList.LARGEST_DISCOVERY_TIME.toNanos();
		while (!available() && this.scheduler.nanos() - end < 0) {
			TimeUnit.NANOSECONDS.sleep(POLL_INTERVAL.toNanos());
		}
	}

	private boolean available() throws InterruptedException {
		try {
			return CompletableFuture.supplyAsync(() -> !this.addresses.get().isEmpty(), this.scheduler::execute).get();
		}
		catch (ExecutionException ex) {
			// Ending the process would only repeat this at its next start.
			logger.errorf(ex.getCause(), "The addresses for callers can't be determined");
			return false;
		}
	}

}
