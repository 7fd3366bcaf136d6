package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The server side of the platform's object API, with fault injection.
 *
 * <p>
 * Each future stands for a reply: if the reply is lost, the future never completes, as on
 * a real network. Confined to the thread of the platform's scheduler.
 */
public final class PlatformService {

	private final Scheduler scheduler;

	private final PlatformState state;

	private final PlatformFaults faults;

	private final Map<String, List<Runnable>> watchers = new HashMap<>();

	public PlatformService(Scheduler scheduler, PlatformLimits limits) {
		this.scheduler = scheduler;
		this.state = new PlatformState(scheduler, limits);
		this.faults = new PlatformFaults();
	}

	public Scheduler scheduler() {
		return this.scheduler;
	}

	public PlatformState state() {
		return this.state;
	}

	public PlatformFaults faults() {
		return this.faults;
	}

	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		return call(PlatformOperation.READ, (effect) -> this.state.read(key));
	}

	public CompletableFuture<WatchBatch> list(String kind) {
		return call(PlatformOperation.LIST, (effect) -> this.state.list(kind));
	}

	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		return call(PlatformOperation.WRITE, (effect) -> {
			failIfConflictInjected(effect, key);
			StoredObject stored = this.state.write(key, value, expected);
			notifyWatchers(key.kind());
			return stored;
		});
	}

	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		return call(PlatformOperation.DELETE, (effect) -> {
			failIfConflictInjected(effect, key);
			this.state.delete(key, expected);
			notifyWatchers(key.kind());
			return null;
		});
	}

	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		return call(PlatformOperation.WATCH,
				(effect) -> (effect.has(PlatformFault.Kind.GAP)) ? this.state.gap(kind)
						: this.state.changesAfter(kind, after))
			.thenCompose((batch) -> (hasChanges(batch)) ? CompletableFuture.completedFuture(batch)
					: waitForChange(kind, after, wait));
	}

	public CompletableFuture<List<VmRecord>> vms() {
		return call(PlatformOperation.VMS, (effect) -> this.state.vms());
	}

	private CompletableFuture<WatchBatch> waitForChange(String kind, long after, Duration wait) {
		CompletableFuture<WatchBatch> reply = new CompletableFuture<>();
		Runnable completion = () -> reply.complete(this.state.changesAfter(kind, after));
		this.watchers.computeIfAbsent(kind, (name) -> new ArrayList<>()).add(completion);
		this.scheduler.schedule(wait, () -> {
			this.watchers.getOrDefault(kind, new ArrayList<>()).remove(completion);
			completion.run();
		});
		return reply;
	}

	private void notifyWatchers(String kind) {
		List<Runnable> notified = this.watchers.remove(kind);
		if (notified != null) {
			notified.forEach(this.scheduler::execute);
		}
	}

	private <T> CompletableFuture<T> call(PlatformOperation operation, Action<T> action) {
		CompletableFuture<T> reply = new CompletableFuture<>();
		PlatformFaults.Effect effect = this.faults.apply(operation);
		if (effect.has(PlatformFault.Kind.SILENT)) {
			return reply;
		}
		runAfter(effect.delay(PlatformFault.Kind.SLOW), () -> run(operation, action, effect, reply));
		return reply;
	}

	private <T> void run(PlatformOperation operation, Action<T> action, PlatformFaults.Effect effect,
			CompletableFuture<T> reply) {
		try {
			T result = countAndRun(operation, action, effect);
			reply(effect, () -> reply.complete(result));
		}
		catch (PlatformException ex) {
			reply(effect, () -> reply.completeExceptionally(ex));
		}
	}

	private <T> T countAndRun(PlatformOperation operation, Action<T> action, PlatformFaults.Effect effect)
			throws PlatformException {
		this.state.countAndCheckRate(operation);
		if (effect.has(PlatformFault.Kind.DOWN)) {
			throw new PlatformException(PlatformException.Kind.UNAVAILABLE, "the platform is down");
		}
		return action.run(effect);
	}

	private void reply(PlatformFaults.Effect effect, Runnable reply) {
		if (!effect.has(PlatformFault.Kind.LOST_REPLY)) {
			runAfter(effect.delay(PlatformFault.Kind.SLOW_REPLY), reply);
		}
	}

	private void runAfter(Duration delay, Runnable task) {
		if (delay.isZero()) {
			task.run();
		}
		else {
			this.scheduler.schedule(delay, task);
		}
	}

	private static boolean hasChanges(WatchBatch batch) {
		return batch.gap() || !batch.changed().isEmpty();
	}

	private static void failIfConflictInjected(PlatformFaults.Effect effect, ObjectKey key) throws PlatformException {
		if (effect.has(PlatformFault.Kind.CONFLICT)) {
			throw new PlatformException(PlatformException.Kind.CONFLICT, key + " was changed by another writer");
		}
	}

	/**
	 * The effect of a call on the state.
	 *
	 * @param <T> the type of the result
	 */
	@FunctionalInterface
	private interface Action<T> {

		T run(PlatformFaults.Effect effect) throws PlatformException;

	}

}
