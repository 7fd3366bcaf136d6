package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Client of the platform's object API that calls it in memory, without a network.
 *
 * <p>
 * Each instance belongs to one caller and can be partitioned from the platform
 * independently of others. Calls run on the platform's scheduler, futures complete on the
 * caller's; with a manual scheduler both are the same. Safe for use from the caller's
 * thread.
 */
public final class InMemoryObjectStore implements ObjectStore {

	private final Scheduler scheduler;

	private final PlatformService service;

	private final Duration timeout;

	private boolean partitioned;

	/**
	 * Creates a caller's client.
	 * @param scheduler the caller's scheduler
	 * @param service the platform
	 * @param timeout how long a call may take
	 */
	public InMemoryObjectStore(Scheduler scheduler, PlatformService service, Duration timeout) {
		this.scheduler = scheduler;
		this.service = service;
		this.timeout = timeout;
	}

	/**
	 * Partitions this caller from the platform, so that its calls are lost, or reconnects
	 * it.
	 * @param partitioned true to lose calls before they arrive
	 */
	public void setPartitioned(boolean partitioned) {
		this.partitioned = partitioned;
	}

	@Override
	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		return call(PlatformOperation.READ, this.timeout, () -> this.service.read(key));
	}

	@Override
	public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
		return call(PlatformOperation.LIST, this.timeout, () -> this.service.list(kind));
	}

	@Override
	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		return call(PlatformOperation.WRITE, this.timeout, () -> this.service.write(key, value, expected));
	}

	@Override
	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		return call(PlatformOperation.DELETE, this.timeout, () -> this.service.delete(key, expected));
	}

	@Override
	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		return call(PlatformOperation.WATCH, this.timeout.plus(wait), () -> this.service.watch(kind, after, wait));
	}

	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return call(PlatformOperation.VMS, this.timeout, this.service::vms);
	}

	private <T> CompletableFuture<T> call(PlatformOperation operation, Duration callTimeout,
			Supplier<CompletableFuture<T>> request) {
		CompletableFuture<T> result = new CompletableFuture<>();
		Cancellable timeoutTask = this.scheduler.schedule(callTimeout,
				() -> result.completeExceptionally(timeoutException(operation)));
		if (!this.partitioned) {
			this.service.scheduler()
				.execute(() -> request.get()
					.whenComplete((value, failure) -> this.scheduler
						.execute(() -> complete(result, timeoutTask, value, failure))));
		}
		return result;
	}

	private static <T> void complete(CompletableFuture<T> result, Cancellable timeoutTask, T value, Throwable failure) {
		timeoutTask.cancel();
		if (failure == null) {
			result.complete(value);
		}
		else {
			result.completeExceptionally((failure.getCause() != null) ? failure.getCause() : failure);
		}
	}

	private static PlatformException timeoutException(PlatformOperation operation) {
		PlatformException.Kind kind = (operation.isWrite()) ? PlatformException.Kind.UNKNOWN_OUTCOME
				: PlatformException.Kind.UNAVAILABLE;
		return new PlatformException(kind, operation + " timed out without a reply");
	}

}
