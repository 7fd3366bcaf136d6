package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Waits until enough daemons hold a version.
 *
 * <p>
 * A change that only its proposer and the platform hold would not survive for the
 * daemons, should both be lost to them at once: a group that goes on through an outage
 * would never hear of it. Small fleets therefore wait for a majority, so that any later
 * majority has a daemon that holds the version; large ones wait for a bounded number.
 * Confined to the scheduler's thread.
 */
final class HolderWait {

	static final Duration LIMIT = Duration.ofSeconds(3);

	private static final int FEWEST_OTHERS = 2;

	private static final int MOST_OTHERS = 8;

	private final Scheduler scheduler;

	private final Relays relays;

	private final HoldersView holders;

	private final LongSupplier heldVersion;

	private final List<Waiter> waiters = new ArrayList<>();

	HolderWait(Scheduler scheduler, Relays relays, HoldersView holders, LongSupplier heldVersion) {
		this.scheduler = scheduler;
		this.relays = relays;
		this.holders = holders;
		this.heldVersion = heldVersion;
	}

	/**
	 * Waits until enough others hold a version.
	 * @param version the version
	 * @return how the wait ended
	 */
	CompletableFuture<ChangeResult.Accepted> await(long version) {
		Waiter waiter = new Waiter(version, new CompletableFuture<>());
		this.waiters.add(waiter);
		this.scheduler.schedule(LIMIT, () -> complete(waiter));
		check();
		return waiter.future;
	}

	/**
	 * To be called after a daemon was heard.
	 */
	void check() {
		List<Waiter> done = this.waiters.stream()
			.filter((waiter) -> this.holders.holding(waiter.version) >= required())
			.toList();
		done.forEach(this::complete);
	}

	private void complete(Waiter waiter) {
		if (this.waiters.remove(waiter)) {
			int others = this.holders.holding(waiter.version);
			int here = (this.heldVersion.getAsLong() >= waiter.version) ? 1 : 0;
			waiter.future.complete(new ChangeResult.Accepted(waiter.version, others + here, this.relays.members(),
					others >= required()));
		}
	}

	// The majority counts those that should be there, not those that are heard: while a
	// fleet splits, the number heard falls until the few that are left seem to be enough,
	// and a change would be called spread that the larger part never heard of.
	private int required() {
		int majority = Math.min(MOST_OTHERS, this.relays.members() / 2);
		int others = Math.min(FEWEST_OTHERS, this.relays.heard() - 1);
		return Math.max(majority, others);
	}

	private record Waiter(long version, CompletableFuture<ChangeResult.Accepted> future) {
	}

}
