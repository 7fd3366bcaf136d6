package org.bramleyscale.internal.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Clock;

/**
 * Notes when the platform last answered, for the status.
 *
 * <p>
 * A conflict is an answer too. Confined to the scheduler's thread.
 */
final class WatchedObjectStore implements ObjectStore {

	private final Clock clock;

	private final ObjectStore store;

	private long answeredAt;

	WatchedObjectStore(Clock clock, ObjectStore store) {
		this.clock = clock;
		this.store = store;
		this.answeredAt = clock.nanos();
	}

	/**
	 * For how long the platform has not answered this daemon.
	 * @return the time since the last answer; daemons that call it seldom see seconds
	 */
	Duration silence() {
		return Duration.ofNanos(this.clock.nanos() - this.answeredAt);
	}

	@Override
	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		return watched(this.store.read(key));
	}

	@Override
	public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
		return watched(this.store.list(kind, answered));
	}

	@Override
	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		return watched(this.store.write(key, value, expected));
	}

	@Override
	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		return watched(this.store.delete(key, expected));
	}

	@Override
	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		return watched(this.store.watch(kind, after, wait));
	}

	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return watched(this.store.vms());
	}

	private <T> CompletableFuture<T> watched(CompletableFuture<T> call) {
		return call.whenComplete((value, failure) -> {
			if (failure == null || conflict(failure)) {
				this.answeredAt = this.clock.nanos();
			}
		});
	}

	private static boolean conflict(Throwable failure) {
		return failure instanceof PlatformException platform && platform.kind() == PlatformException.Kind.CONFLICT;
	}

}
