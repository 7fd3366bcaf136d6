package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A simulated store on a manual clock. Each daemon follows it through an access of its
 * own, for which calls can be made to fail. Confined to the test's thread.
 */
final class SimulatedStore {

	/** The kind of all objects. */
	static final String KIND = "servers";

	/** The timeout of a call beyond the time that it asks the store to wait. */
	private static final Duration CALL_OVERRUN = Duration.ofMillis(1_200);

	private static final Duration REFUSAL = Duration.ofMillis(4);

	private final ManualScheduler scheduler;

	private final Map<String, StoredObject> stored = new TreeMap<>();

	private final Map<String, Long> deletions = new TreeMap<>();

	private final List<PendingWatch> pendingWatches = new ArrayList<>();

	private final Map<String, Write> lastWrites = new TreeMap<>();

	private final NavigableMap<Long, List<StoredObject>> states = new TreeMap<>();

	private long era = 1;

	private long historyStart;

	private long revision = StoreRevision.of(1, 1);

	private int calls;

	SimulatedStore(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	/** Makes the store one that names no era; called before anything is written. */
	void nameNoEra() {
		this.era = 0;
		this.revision = StoreRevision.of(0, 1);
	}

	/** Discards the history, so that watches from before have a gap. */
	void loseHistory() {
		this.historyStart = this.revision;
	}

	/**
	 * The last write of each object that was ever stored.
	 * @return the writes by name
	 */
	Map<String, Write> lastWrites() {
		return this.lastWrites;
	}

	/**
	 * The number of calls to the store.
	 * @return how many were made since the start
	 */
	int calls() {
		return this.calls;
	}

	/**
	 * Writes an object, which completes the pending watches.
	 * @param name the object's name
	 */
	void change(String name) {
		this.revision++;
		StoredObject object = new StoredObject(new ObjectKey(KIND, name), this.revision, new byte[1]);
		this.stored.put(name, object);
		this.deletions.remove(name);
		written(name, false);
		answerWatches(new WatchBatch(this.revision, false, List.of(object)));
	}

	private void answerWatches(WatchBatch batch) {
		List<PendingWatch> answered = this.pendingWatches.stream().filter((call) -> !call.silent).toList();
		this.pendingWatches.removeAll(answered);
		answered.forEach((call) -> call.answer(batch));
	}

	/**
	 * Deletes an object, which completes the pending watches.
	 * @param name the object's name
	 */
	void delete(String name) {
		this.revision++;
		this.stored.remove(name);
		this.deletions.put(name, this.revision);
		written(name, true);
		answerWatches(new WatchBatch(this.revision, false, List.of(), List.of(name)));
	}

	private void written(String name, boolean deleted) {
		this.lastWrites.put(name, new Write(this.scheduler.nanos(), this.revision, deleted));
		this.states.put(this.scheduler.nanos(), List.copyOf(this.stored.values()));
	}

	/**
	 * Returns a copy of the store, which keeps working.
	 * @return the copy
	 */
	Backup backup() {
		return new Backup(this.revision, Map.copyOf(this.stored), Map.copyOf(this.deletions));
	}

	/**
	 * Continues from an older copy: what was written since is lost, and its revisions are
	 * given out again.
	 * @param backup the copy
	 */
	void restore(Backup backup) {
		this.era++;
		this.revision = StoreRevision.of(this.era, StoreRevision.revision(backup.revision()));
		this.stored.clear();
		backup.stored()
			.forEach((name, object) -> this.stored.put(name,
					new StoredObject(object.key(), inThisEra(object.version()), object.value())));
		this.deletions.clear();
		backup.deletions().forEach((name, deletedAt) -> this.deletions.put(name, inThisEra(deletedAt)));
		List<PendingWatch> cut = List.copyOf(this.pendingWatches);
		this.pendingWatches.clear();
		cut.forEach((watch) -> failLater(watch.call, REFUSAL));
	}

	private long inThisEra(long earlier) {
		return StoreRevision.of(this.era, StoreRevision.revision(earlier));
	}

	/** Makes the connection of every pending watch silent. */
	void silenceWatches() {
		this.pendingWatches.forEach((call) -> call.silent = true);
	}

	private CompletableFuture<WatchBatch> failing(Duration after) {
		CompletableFuture<WatchBatch> call = new CompletableFuture<>();
		failLater(call, after);
		return call;
	}

	private void failLater(CompletableFuture<WatchBatch> call, Duration after) {
		this.scheduler.schedule(after, () -> call
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "no answer")));
	}

	/**
	 * A write of an object.
	 *
	 * @param at the time at which it was confirmed
	 * @param revision its revision
	 * @param deleted whether it was a deletion
	 */
	record Write(long at, long revision, boolean deleted) {
	}

	/**
	 * A copy of the store.
	 *
	 * @param revision its revision
	 * @param stored the objects
	 * @param deletions the revisions of deletions
	 */
	record Backup(long revision, Map<String, StoredObject> stored, Map<String, Long> deletions) {
	}

	/**
	 * The outcome of a daemon's calls to the store.
	 */
	enum CallOutcome {

		WORKS, REFUSED, SILENT

	}

	/**
	 * One daemon's access to the store.
	 */
	final class Access implements PartialStore {

		private final Scheduler process;

		private CallOutcome outcome = CallOutcome.WORKS;

		private long answeredAt = Long.MIN_VALUE;

		private CompletableFuture<WatchBatch> watch;

		private Optional<Duration> cacheAge = Optional.empty();

		private Duration answerDelay = Duration.ZERO;

		private Duration longestWatch = Duration.ofHours(1);

		private int calls;

		/**
		 * Creates a daemon's access.
		 * @param process runs the callbacks of calls
		 */
		Access(Scheduler process) {
			this.process = process;
		}

		/**
		 * The time at which the daemon last received an answer.
		 * @return the time, by the scheduler
		 */
		long answeredAt() {
			return this.answeredAt;
		}

		CallOutcome outcome() {
			return this.outcome;
		}

		/**
		 * Changes the outcome of calls, including the pending one.
		 * @param newOutcome the new outcome
		 */
		void outcome(CallOutcome newOutcome) {
			this.outcome = newOutcome;
			SimulatedStore.this.pendingWatches.stream()
				.filter((call) -> call.call == this.watch)
				.forEach((call) -> call.silent = true);
		}

		int calls() {
			return this.calls;
		}

		/**
		 * Makes cached lists older than the store's state.
		 * @param age their age
		 */
		void cacheAge(Duration age) {
			this.cacheAge = Optional.of(age);
		}

		/**
		 * Makes answers arrive late, and watches end before the time that they ask for.
		 * @param delay the time for which each answer is under way
		 * @param longest the longest time for which the store holds a watch
		 */
		void slowAnswers(Duration delay, Duration longest) {
			this.answerDelay = delay;
			this.longestWatch = longest;
		}

		@Override
		public CompletableFuture<WatchBatch> listCached(String kind) {
			if (this.cacheAge.isEmpty() || this.outcome != CallOutcome.WORKS) {
				return list(kind);
			}
			count();
			Map.Entry<Long, List<StoredObject>> state = SimulatedStore.this.states
				.floorEntry(SimulatedStore.this.scheduler.nanos() - this.cacheAge.get().toNanos());
			List<StoredObject> objects = (state != null) ? state.getValue() : List.of();
			return deliver(CompletableFuture
				.completedFuture(new WatchBatch(StoreRevision.revision(SimulatedStore.this.revision), false,
						objects.stream()
							.map((object) -> new StoredObject(object.key(), StoreRevision.revision(object.version()),
									object.value()))
							.toList())));
		}

		@Override
		public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
			count();
			if (this.outcome != CallOutcome.WORKS) {
				return deliver(unanswered(Duration.ZERO));
			}
			return deliver(CompletableFuture.completedFuture(new WatchBatch(SimulatedStore.this.revision, false,
					List.copyOf(SimulatedStore.this.stored.values()))));
		}

		@Override
		public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
			count();
			Duration held = (wait.compareTo(this.longestWatch) < 0) ? wait : this.longestWatch;
			this.watch = (this.outcome == CallOutcome.WORKS) ? answered(after, held) : unanswered(wait);
			return deliver(this.watch);
		}

		private CompletableFuture<WatchBatch> answered(long after, Duration wait) {
			if (after > SimulatedStore.this.revision || StoreRevision.era(after) != SimulatedStore.this.era
					|| after < SimulatedStore.this.historyStart) {
				CompletableFuture<WatchBatch> gone = new CompletableFuture<>();
				SimulatedStore.this.scheduler.schedule(REFUSAL,
						() -> gone.complete(new WatchBatch(after, true, List.of())));
				return gone;
			}
			List<StoredObject> changed = SimulatedStore.this.stored.values()
				.stream()
				.filter((object) -> object.version() > after)
				.toList();
			List<String> deleted = SimulatedStore.this.deletions.entrySet()
				.stream()
				.filter((deletion) -> deletion.getValue() > after)
				.map(Map.Entry::getKey)
				.toList();
			if (!changed.isEmpty() || !deleted.isEmpty()) {
				return CompletableFuture
					.completedFuture(new WatchBatch(SimulatedStore.this.revision, false, changed, deleted));
			}
			CompletableFuture<WatchBatch> call = new CompletableFuture<>();
			SimulatedStore.this.pendingWatches.add(new PendingWatch(call, wait));
			return call;
		}

		private CompletableFuture<WatchBatch> unanswered(Duration wait) {
			return failing((this.outcome == CallOutcome.REFUSED) ? REFUSAL : wait.plus(CALL_OVERRUN));
		}

		private CompletableFuture<WatchBatch> deliver(CompletableFuture<WatchBatch> call) {
			CompletableFuture<WatchBatch> delivered = new CompletableFuture<>();
			call.whenComplete((batch, failure) -> this.process.schedule(this.answerDelay, () -> {
				if (failure != null) {
					delivered.completeExceptionally(failure);
					return;
				}
				this.answeredAt = SimulatedStore.this.scheduler.nanos();
				delivered.complete(batch);
			}));
			return delivered;
		}

		private void count() {
			this.calls++;
			SimulatedStore.this.calls++;
		}

	}

	/**
	 * A pending watch.
	 */
	private final class PendingWatch {

		private final CompletableFuture<WatchBatch> call;

		private final Cancellable end;

		private boolean silent;

		private PendingWatch(CompletableFuture<WatchBatch> call, Duration wait) {
			this.call = call;
			this.end = SimulatedStore.this.scheduler.schedule(wait, this::expire);
			failLater(call, wait.plus(CALL_OVERRUN));
		}

		private void expire() {
			if (!this.silent) {
				SimulatedStore.this.pendingWatches.remove(this);
				this.call.complete(new WatchBatch(SimulatedStore.this.revision, false, List.of()));
			}
		}

		private void answer(WatchBatch batch) {
			this.end.cancel();
			this.call.complete(batch);
		}

	}

}
