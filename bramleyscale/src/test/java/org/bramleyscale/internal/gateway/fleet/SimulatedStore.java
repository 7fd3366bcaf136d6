package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.bramleyscale.internal.gateway.follow.ObjectCopies;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * An in-memory store whose changes reach all daemons after a delay. Confined to the
 * test's thread.
 */
public final class SimulatedStore implements PartialStore {

	private static final Duration CALL_LATENCY = Duration.ofMillis(4);

	private static final Duration WATCH_LATENCY = Duration.ofMillis(80);

	private final ManualScheduler scheduler;

	private final Map<String, StoredObject> records = new TreeMap<>();

	private ObjectCopies.Listener follower = (object) -> {
	};

	private long revision = 1;

	private boolean unavailable;

	private long availabilityChangedAt = Long.MIN_VALUE / 2;

	SimulatedStore(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	void follow(ObjectCopies.Listener listener) {
		this.follower = listener;
	}

	public void setUnavailable(boolean value) {
		this.unavailable = value;
		this.availabilityChangedAt = this.scheduler.nanos();
	}

	boolean stableFor(Duration time) {
		return !this.unavailable && this.scheduler.nanos() - this.availabilityChangedAt > time.toNanos();
	}

	public List<ObjectCopy> all() {
		return this.records.values()
			.stream()
			.map((object) -> new ObjectCopy(object.key().name(), object.version(), object.value()))
			.toList();
	}

	@Override
	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		return answer(key, expected, () -> {
			StoredObject object = new StoredObject(key, ++this.revision, value);
			this.records.put(key.name(), object);
			notifyFollower(new ObjectCopy(key.name(), this.revision, value));
			return object;
		});
	}

	@Override
	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		return answer(key, expected, () -> {
			this.records.remove(key.name());
			notifyFollower(new ObjectCopy(key.name(), ++this.revision, null));
			return null;
		});
	}

	/**
	 * Returns this store as one daemon uses it.
	 * @param running whether the daemon runs; the calls of one that doesn't are not made
	 * @return a view of this store
	 */
	ObjectStore during(BooleanSupplier running) {
		return new PartialStore() {

			@Override
			public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
				return running.getAsBoolean() ? SimulatedStore.this.write(key, value, expected)
						: new CompletableFuture<>();
			}

			@Override
			public CompletableFuture<Void> delete(ObjectKey key, long expected) {
				return running.getAsBoolean() ? SimulatedStore.this.delete(key, expected) : new CompletableFuture<>();
			}

		};
	}

	private void notifyFollower(ObjectCopy object) {
		this.scheduler.schedule(WATCH_LATENCY, () -> this.follower.changed(object));
	}

	private <T> CompletableFuture<T> answer(ObjectKey key, long expected, Supplier<T> change) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.scheduler.schedule(CALL_LATENCY, () -> {
			StoredObject known = this.records.get(key.name());
			if (this.unavailable) {
				result.completeExceptionally(
						new PlatformException(PlatformException.Kind.UNAVAILABLE, "store unavailable"));
			}
			else if (((known != null) ? known.version() : 0) != expected) {
				result.completeExceptionally(
						new PlatformException(PlatformException.Kind.CONFLICT, "object has changed"));
			}
			else {
				result.complete(change.get());
			}
		});
		return result;
	}

}
