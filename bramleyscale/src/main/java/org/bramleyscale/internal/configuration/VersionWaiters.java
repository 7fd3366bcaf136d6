package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Those who wait for a version to be held here.
 *
 * <p>
 * Invariant: each wait ends within its limit. Confined to the scheduler's thread.
 */
final class VersionWaiters {

	private final Scheduler scheduler;

	private final List<Waiter> waiters = new ArrayList<>();

	VersionWaiters(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Starts to wait.
	 * @param version the version
	 * @param limit how long to wait
	 * @return true once the version is held, false if it isn't in time
	 */
	CompletableFuture<Boolean> await(long version, Duration limit) {
		Waiter waiter = new Waiter(version, new CompletableFuture<>());
		this.waiters.add(waiter);
		this.scheduler.schedule(limit, () -> end(List.of(waiter), false));
		return waiter.future;
	}

	/**
	 * Ends the waits for versions up to one.
	 * @param version the version that is held now
	 */
	void reached(long version) {
		end(this.waiters.stream().filter((waiter) -> waiter.version <= version).toList(), true);
	}

	private void end(List<Waiter> ended, boolean held) {
		this.waiters.removeAll(ended);
		ended.forEach((waiter) -> waiter.future.complete(held));
	}

	private record Waiter(long version, CompletableFuture<Boolean> future) {
	}

}
