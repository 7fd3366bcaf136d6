package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A store on a manual clock that many daemons follow, each by an access of its own that
 * can be taken away. Confined to the test's thread.
 */
final class SimulatedStore {

	/** The kind of all objects here. */
	static final String KIND = "servers";

	/** The time limit of a call beyond what it asks the store to wait. */
	private static final Duration CALL_OVERRUN = Duration.ofMillis(1_200);

	private static final Duration REFUSAL = Duration.ofMillis(4);

	private final ManualScheduler scheduler;

	private final Map<String, StoredObject> stored = new TreeMap<>();

	private final List<PendingWatch> waiting = new ArrayList<>();

	private long revision = 1;

	private int calls;

	SimulatedStore(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Calls to the store.
	 * @return how many were made since the start
	 */
	int calls() {
		return this.calls;
	}

	/**
	 * Writes an object, which answers the watches that wait.
	 * @param name the object's name
	 */
	void change(String name) {
		this.revision++;
		StoredObject object = new StoredObject(new ObjectKey(KIND, name), this.revision, new byte[1]);
		this.stored.put(name, object);
		List<PendingWatch> answered = this.waiting.stream().filter((call) -> !call.silent).toList();
		this.waiting.removeAll(answered);
		answered.forEach((call) -> call.answer(new WatchBatch(this.revision, false, List.of(object))));
	}

	/** Makes every connection on which a watch waits silent. */
	void silenceWatches() {
		this.waiting.forEach((call) -> call.silent = true);
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
	 * What becomes of a daemon's calls to the store.
	 */
	enum Link {

		WORKS, REFUSED, SILENT

	}

	/**
	 * One daemon's access to the store.
	 */
	final class Access implements PartialStore {

		private final Scheduler process;

		private Link link = Link.WORKS;

		private long answeredAt = Long.MIN_VALUE;

		private CompletableFuture<WatchBatch> watch;

		private int calls;

		/**
		 * Makes a daemon's access.
		 * @param process runs what follows from an answer
		 */
		Access(Scheduler process) {
			this.process = process;
		}

		/**
		 * When the daemon last took an answer.
		 * @return the time, by the scheduler
		 */
		long answeredAt() {
			return this.answeredAt;
		}

		Link link() {
			return this.link;
		}

		/**
		 * Changes what becomes of calls, the one under way included.
		 * @param newLink what becomes of them
		 */
		void link(Link newLink) {
			this.link = newLink;
			SimulatedStore.this.waiting.stream()
				.filter((call) -> call.call == this.watch)
				.forEach((call) -> call.silent = true);
		}

		int calls() {
			return this.calls;
		}

		@Override
		public CompletableFuture<WatchBatch> list(String kind) {
			count();
			if (this.link != Link.WORKS) {
				return deliver(unanswered(Duration.ZERO));
			}
			return deliver(CompletableFuture.completedFuture(new WatchBatch(SimulatedStore.this.revision, false,
					List.copyOf(SimulatedStore.this.stored.values()))));
		}

		@Override
		public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
			count();
			this.watch = (this.link == Link.WORKS) ? answered(after, wait) : unanswered(wait);
			return deliver(this.watch);
		}

		private CompletableFuture<WatchBatch> answered(long after, Duration wait) {
			List<StoredObject> changed = SimulatedStore.this.stored.values()
				.stream()
				.filter((object) -> object.version() > after)
				.toList();
			if (!changed.isEmpty()) {
				return CompletableFuture.completedFuture(new WatchBatch(SimulatedStore.this.revision, false, changed));
			}
			CompletableFuture<WatchBatch> call = new CompletableFuture<>();
			SimulatedStore.this.waiting.add(new PendingWatch(call, wait));
			return call;
		}

		private CompletableFuture<WatchBatch> unanswered(Duration wait) {
			return failing((this.link == Link.REFUSED) ? REFUSAL : wait.plus(CALL_OVERRUN));
		}

		private CompletableFuture<WatchBatch> deliver(CompletableFuture<WatchBatch> call) {
			CompletableFuture<WatchBatch> heard = new CompletableFuture<>();
			call.whenComplete((batch, failure) -> this.process.execute(() -> {
				if (failure != null) {
					heard.completeExceptionally(failure);
					return;
				}
				this.answeredAt = SimulatedStore.this.scheduler.nanos();
				heard.complete(batch);
			}));
			return heard;
		}

		private void count() {
			this.calls++;
			SimulatedStore.this.calls++;
		}

	}

	/**
	 * A watch that the store holds.
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
				SimulatedStore.this.waiting.remove(this);
				this.call.complete(new WatchBatch(SimulatedStore.this.revision, false, List.of()));
			}
		}

		private void answer(WatchBatch batch) {
			this.end.cancel();
			this.call.complete(batch);
		}

	}

}
