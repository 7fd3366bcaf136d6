package org.bramleyscale.internal.gateway.evacuation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A simulated store of one kind of objects on a manual clock. Each daemon has an access
 * of its own, for which calls can be made to fail. Confined to the test's thread.
 */
final class EvacuationStore {

	static final String KIND = "evacuations";

	/** A kind of which copies aren't exact. */
	static final String OTHER_KIND = "config";

	/** The timeout of a call beyond the time that it asks the store to wait. */
	private static final Duration CALL_OVERRUN = Duration.ofMillis(1_200);

	private static final Duration LATENCY = Duration.ofMillis(4);

	private final ManualScheduler scheduler;

	private final String kind;

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final List<Event> events = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	private long revision = 1;

	private long oldestEvent;

	private int calls;

	EvacuationStore(ManualScheduler scheduler, String kind) {
		this.scheduler = scheduler;
		this.kind = kind;
	}

	/**
	 * The number of calls to the store.
	 * @return how many were made since the start
	 */
	int calls() {
		return this.calls;
	}

	Set<String> names() {
		return Set.copyOf(this.objects.keySet());
	}

	void put(String name, byte[] content) {
		StoredObject object = new StoredObject(new ObjectKey(this.kind, name), ++this.revision, content);
		this.objects.put(name, object);
		record(new Event(this.revision, name, object));
	}

	void delete(String name) {
		this.objects.remove(name);
		record(new Event(++this.revision, name, null));
	}

	/** Changes an object of another kind, which advances the revision of the store. */
	void changeOtherKind() {
		this.revision++;
	}

	/** Drops the history, so that watches from earlier revisions report a gap. */
	void dropHistory() {
		this.oldestEvent = this.revision;
	}

	private void record(Event event) {
		this.events.add(event);
		List.copyOf(this.watches).forEach((watch) -> this.scheduler.schedule(LATENCY, watch::answer));
	}

	private WatchBatch eventsAfter(long after) {
		if (after < this.oldestEvent) {
			return new WatchBatch(after, true, List.of());
		}
		Map<String, Event> last = new LinkedHashMap<>();
		this.events.stream().filter((event) -> event.revision > after).forEach((event) -> last.put(event.name, event));
		return new WatchBatch(this.revision, false,
				last.values().stream().filter((event) -> event.object != null).map(Event::object).toList(),
				last.values().stream().filter((event) -> event.object == null).map(Event::name).toList());
	}

	/**
	 * The outcome of a daemon's calls to the store.
	 */
	enum CallOutcome {

		WORKS, REFUSED, SILENT, EVERY_SECOND_ANSWER_LOST

	}

	/**
	 * A change of an object.
	 *
	 * @param revision the store's revision after it
	 * @param name the object's name
	 * @param object the object, or null if it was deleted
	 */
	private record Event(long revision, String name, StoredObject object) {
	}

	/**
	 * One daemon's access to the store; evacuations have no cached list.
	 */
	final class Access implements PartialStore {

		private final Scheduler process;

		private CallOutcome outcome;

		private int calls;

		Access(Scheduler process, CallOutcome outcome) {
			this.process = process;
			this.outcome = outcome;
		}

		int calls() {
			return this.calls;
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
			EvacuationStore.this.watches.removeIf((watch) -> watch.access == this);
		}

		@Override
		public CompletableFuture<WatchBatch> listCached(String kind) {
			if (kind.equals(KIND)) {
				throw new UnsupportedOperationException();
			}
			return list(kind);
		}

		@Override
		public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
			CompletableFuture<WatchBatch> call = begin(Duration.ZERO);
			if (answers()) {
				EvacuationStore.this.scheduler.schedule(LATENCY,
						() -> complete(call, new WatchBatch(EvacuationStore.this.revision, false,
								List.copyOf(EvacuationStore.this.objects.values()))));
			}
			return call;
		}

		@Override
		public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
			CompletableFuture<WatchBatch> call = begin(wait);
			if (answers()) {
				Watch watch = new Watch(this, call, after);
				EvacuationStore.this.watches.add(watch);
				WatchBatch now = eventsAfter(after);
				boolean answered = now.gap() || !now.changed().isEmpty() || !now.deleted().isEmpty();
				EvacuationStore.this.scheduler.schedule(answered ? LATENCY : wait.plus(LATENCY), watch::answer);
			}
			return call;
		}

		private CompletableFuture<WatchBatch> begin(Duration wait) {
			this.calls++;
			EvacuationStore.this.calls++;
			CompletableFuture<WatchBatch> call = new CompletableFuture<>();
			Duration failure = (this.outcome == CallOutcome.REFUSED) ? LATENCY : wait.plus(CALL_OVERRUN);
			this.process.schedule(failure, () -> call
				.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "no answer")));
			return call;
		}

		private boolean answers() {
			return this.outcome == CallOutcome.WORKS
					|| (this.outcome == CallOutcome.EVERY_SECOND_ANSWER_LOST && this.calls % 2 == 0);
		}

		private void complete(CompletableFuture<WatchBatch> call, WatchBatch batch) {
			this.process.execute(() -> call.complete(batch));
		}

	}

	/**
	 * A pending watch.
	 */
	private final class Watch {

		private final Access access;

		private final CompletableFuture<WatchBatch> call;

		private final long after;

		private Watch(Access access, CompletableFuture<WatchBatch> call, long after) {
			this.access = access;
			this.call = call;
			this.after = after;
		}

		private void answer() {
			if (EvacuationStore.this.watches.remove(this)) {
				this.access.complete(this.call, eventsAfter(this.after));
			}
		}

	}

}
