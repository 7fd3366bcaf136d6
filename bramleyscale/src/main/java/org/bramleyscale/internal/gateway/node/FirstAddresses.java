package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Waits until a daemon that has just started has somebody to name to callers.
 *
 * <p>
 * A daemon that starts on 0.12 of a core takes a second from its first open port to its
 * first answer, and callers wait that long for each of three daemons that they ask for
 * addresses; one whose port is closed sends them on at once. So the port for addresses
 * opens after this. Used by one thread, which isn't the scheduler's. <pre>
 * node.start();
 * node.firstAddresses().await();
 * </pre>
 */
public final class FirstAddresses {

	/** The pause between looks; short prompts have 300 ms for the whole way. */
	private static final Duration LOOK = Duration.ofMillis(20);

	private final Scheduler scheduler;

	private final Supplier<List<String>> addresses;

	FirstAddresses(Scheduler scheduler, Supplier<List<String>> addresses) {
		this.scheduler = scheduler;
		this.addresses = addresses;
	}

	/**
	 * Waits until there is an address, or until the daemon names somebody whomever it has
	 * met.
	 * @throws InterruptedException if the thread is interrupted
	 * @throws ExecutionException if the daemon can't say whom it would name
	 */
	public void await() throws InterruptedException, ExecutionException {
		long end = this.scheduler.nanos() + EntryList.LARGEST_MET.toNanos();
		while (!known() && this.scheduler.nanos() - end < 0) {
			TimeUnit.NANOSECONDS.sleep(LOOK.toNanos());
		}
	}

	private boolean known() throws InterruptedException, ExecutionException {
		return CompletableFuture.supplyAsync(() -> !this.addresses.get().isEmpty(), this.scheduler::execute).get();
	}

}
