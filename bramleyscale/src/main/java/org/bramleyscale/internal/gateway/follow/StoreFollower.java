package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Follows one kind of objects in the platform's store: lists it once, then watches.
 *
 * <p>
 * The store is at times down, slow or without its history, turns single daemons away, or
 * falls silent on an open connection. Each call therefore ends within a time limit of the
 * adapter's; after a failure the follower tries again soon, after lost history it lists
 * anew. Invariant: one call is under way at a time. Confined to the scheduler's thread.
 */
public final class StoreFollower {

	/** The first pause after a failure; a hiccup shall cost less than a heartbeat. */
	static final Duration SHORTEST_PAUSE = Duration.ofMillis(50);

	/** The longest pause: entries that lapsed are judged within two seconds. */
	static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

	private final String kind;

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final ObjectStore store;

	private final FollowedKind copies;

	private final Supplier<FollowPace> pace;

	private final DecisionLog log;

	private long failures;

	private long failedAt;

	private long answeredAt;

	private boolean listed;

	private boolean stopped;

	/**
	 * Makes a follower that isn't started.
	 * @param kind the kind of objects
	 * @param scheduler the daemon's scheduler
	 * @param random for the jitter of pauses
	 * @param store the store
	 * @param copies takes what is read
	 * @param pace how closely to follow, asked before each watch
	 * @param log takes a line when the store is lost and when it is back
	 */
	public StoreFollower(String kind, Scheduler scheduler, RandomGenerator random, ObjectStore store,
			FollowedKind copies, Supplier<FollowPace> pace, DecisionLog log) {
		this.kind = kind;
		this.scheduler = scheduler;
		this.random = random;
		this.store = store;
		this.copies = copies;
		this.pace = pace;
		this.log = log;
		this.failedAt = scheduler.nanos() - Duration.ofDays(1).toNanos();
		this.answeredAt = scheduler.nanos();
	}

	public void start() {
		list();
	}

	public void stop() {
		this.stopped = true;
	}

	/**
	 * Whether the last call failed.
	 * @return true if the store is away as far as this daemon can tell
	 */
	public boolean away() {
		return this.failures > 0;
	}

	/**
	 * Whether the store failed this daemon within a time.
	 * @param span the time until now
	 * @return true if a call failed then
	 */
	public boolean failedWithin(Duration span) {
		return this.scheduler.nanos() - this.failedAt < span.toNanos();
	}

	/**
	 * For how long the store has not answered.
	 * @return the time since its last answer
	 */
	public Duration silence() {
		return Duration.ofNanos(this.scheduler.nanos() - this.answeredAt);
	}

	private void list() {
		this.store.list(this.kind).whenComplete((batch, failure) -> {
			if (this.stopped) {
				return;
			}
			if (failure != null) {
				failed(failure, this::list);
				return;
			}
			answered();
			this.listed = true;
			this.copies.list(batch);
			watch();
		});
	}

	private void watch() {
		this.store.watch(this.kind, this.copies.complete(), this.pace.get().watch()).whenComplete((batch, failure) -> {
			if (this.stopped) {
				return;
			}
			if (failure != null) {
				failed(failure, this::watch);
				return;
			}
			answered();
			watched(batch);
		});
	}

	private void watched(WatchBatch batch) {
		if (batch.gap()) {
			this.log.belief("store", this.kind, "history", "lost", "revision", this.copies.complete());
			list();
			return;
		}
		this.copies.changes(batch);
		Duration pause = this.pace.get().pause();
		if (pause.isZero() || (batch.changed().isEmpty() && batch.deleted().isEmpty())) {
			watch();
			return;
		}
		this.scheduler.schedule(pause, () -> {
			if (!this.stopped) {
				watch();
			}
		});
	}

	private void failed(Throwable failure, Runnable again) {
		this.failedAt = this.scheduler.nanos();
		this.failures++;
		if (this.failures == 1) {
			this.log.belief("store", this.kind, "state", "lost", "cause", failure.getMessage(), "listed", this.listed,
					"revision", this.copies.complete());
		}
		long doubled = SHORTEST_PAUSE.toNanos() << Math.min(this.failures - 1, 10);
		long pause = Math.min(doubled, LONGEST_PAUSE.toNanos());
		this.scheduler.schedule(Duration.ofNanos(pause / 2 + this.random.nextLong(pause)), () -> {
			if (!this.stopped) {
				again.run();
			}
		});
	}

	private void answered() {
		if (this.failures > 0) {
			this.log.belief("store", this.kind, "state", "back", "failures", this.failures, "away_ms",
					silence().toMillis());
		}
		this.failures = 0;
		this.answeredAt = this.scheduler.nanos();
	}

}
