package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A platform in memory with faults on demand; each daemon calls it through a view.
 */
final class FakePlatform {

	static final Duration LATENCY = Duration.ofMillis(5);

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final Scheduler scheduler;

	private final Map<ObjectKey, StoredObject> objects = new LinkedHashMap<>();

	private final List<StoredObject> log = new ArrayList<>();

	private final Set<VmId> cutOff = new HashSet<>();

	private final Set<String> lostReplies = new HashSet<>();

	private long calls;

	private boolean down;

	private boolean gaps;

	private boolean impatient;

	FakePlatform(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/** The platform as a daemon reaches it for as long as it lives. */
	ObjectStore view(VmId vm, BooleanSupplier alive) {
		return new View(vm, alive);
	}

	void down(boolean now) {
		this.down = now;
	}

	void cutOff(VmId vm, boolean now) {
		if (now) {
			this.cutOff.add(vm);
		}
		else {
			this.cutOff.remove(vm);
		}
	}

	/** The next write of the kind takes effect but its reply is lost. */
	void loseReplyOfNextWrite(String kind) {
		this.lostReplies.add(kind);
	}

	/** Watches say that changes were lost where they would bring some. */
	void gapsInWatches(boolean now) {
		this.gaps = now;
	}

	/** Watches answer without waiting. */
	void answerWatchesAtOnce() {
		this.impatient = true;
	}

	long calls() {
		return this.calls;
	}

	int count(String kind) {
		return (int) this.objects.keySet().stream().filter((key) -> key.kind().equals(kind)).count();
	}

	long largest(String kind) {
		return this.objects.values()
			.stream()
			.filter((object) -> object.key().kind().equals(kind))
			.mapToLong((object) -> object.value().length)
			.max()
			.orElse(0);
	}

	long bytes(String kind) {
		return this.objects.values()
			.stream()
			.filter((object) -> object.key().kind().equals(kind))
			.mapToLong((object) -> object.value().length)
			.sum();
	}

	void replace(ObjectKey key, byte[] value) {
		store(key, value);
	}

	private StoredObject store(ObjectKey key, byte[] value) {
		long version = this.objects.containsKey(key) ? this.objects.get(key).version() + 1 : 1;
		StoredObject object = new StoredObject(key, version, value);
		this.objects.put(key, object);
		this.log.add(object);
		return object;
	}

	private static PlatformException failure(PlatformException.Kind kind) {
		return new PlatformException(kind, "the fake platform says " + kind);
	}

	/**
	 * The platform as one daemon reaches it.
	 */
	private final class View implements ObjectStore {

		private final VmId vm;

		private final BooleanSupplier alive;

		private View(VmId vm, BooleanSupplier alive) {
			this.vm = vm;
			this.alive = alive;
		}

		@Override
		public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
			return call(false, "", () -> Optional.ofNullable(FakePlatform.this.objects.get(key)));
		}

		@Override
		public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
			return call(false, "", () -> new WatchBatch(FakePlatform.this.log.size(), false, ofKind(kind)));
		}

		@Override
		public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
			return call(true, key.kind(), () -> {
				long version = FakePlatform.this.objects.containsKey(key) ? FakePlatform.this.objects.get(key).version()
						: 0;
				if (version != expected) {
					throw new IllegalStateException("conflict");
				}
				return store(key, value);
			});
		}

		@Override
		public CompletableFuture<Void> delete(ObjectKey key, long expected) {
			return call(true, key.kind(), () -> {
				FakePlatform.this.objects.remove(key);
				return null;
			});
		}

		@Override
		public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
			CompletableFuture<WatchBatch> reply = new CompletableFuture<>();
			poll(kind, after, FakePlatform.this.scheduler.nanos() + wait.toNanos(), reply);
			return reply;
		}

		@Override
		public CompletableFuture<List<VmRecord>> vms() {
			return call(false, "", List::of);
		}

		private void poll(String kind, long after, long until, CompletableFuture<WatchBatch> reply) {
			call(false, "", () -> changed(kind, after)).whenComplete((changed, failure) -> {
				if (failure != null) {
					reply.completeExceptionally(failure);
				}
				else if (!changed.isEmpty() && FakePlatform.this.gaps) {
					reply.complete(new WatchBatch(FakePlatform.this.log.size(), true, List.of()));
				}
				else if (!changed.isEmpty() || FakePlatform.this.impatient
						|| FakePlatform.this.scheduler.nanos() >= until) {
					reply.complete(new WatchBatch(FakePlatform.this.log.size(), false, changed));
				}
				else {
					FakePlatform.this.calls--;
					FakePlatform.this.scheduler.schedule(LATENCY, () -> poll(kind, after, until, reply));
				}
			});
		}

		private List<StoredObject> changed(String kind, long after) {
			return FakePlatform.this.log.subList((int) after, FakePlatform.this.log.size())
				.stream()
				.filter((object) -> object.key().kind().equals(kind))
				.toList();
		}

		private List<StoredObject> ofKind(String kind) {
			return FakePlatform.this.objects.values()
				.stream()
				.filter((object) -> object.key().kind().equals(kind))
				.toList();
		}

		private <T> CompletableFuture<T> call(boolean write, String kind, Supplier<T> effect) {
			CompletableFuture<T> reply = new CompletableFuture<>();
			if (!this.alive.getAsBoolean()) {
				return reply;
			}
			FakePlatform.this.calls++;
			if (FakePlatform.this.down) {
				FakePlatform.this.scheduler.schedule(LATENCY,
						() -> reply.completeExceptionally(failure(PlatformException.Kind.UNAVAILABLE)));
			}
			else if (FakePlatform.this.cutOff.contains(this.vm)) {
				FakePlatform.this.scheduler.schedule(TIMEOUT,
						() -> reply.completeExceptionally(failure(PlatformException.Kind.UNKNOWN_OUTCOME)));
			}
			else {
				FakePlatform.this.scheduler.schedule(LATENCY, () -> perform(write, kind, effect, reply));
			}
			return reply;
		}

		private <T> void perform(boolean write, String kind, Supplier<T> effect, CompletableFuture<T> reply) {
			T result;
			try {
				result = effect.get();
			}
			catch (IllegalStateException ex) {
				reply.completeExceptionally(failure(PlatformException.Kind.CONFLICT));
				return;
			}
			if (write && FakePlatform.this.lostReplies.remove(kind)) {
				FakePlatform.this.scheduler.schedule(TIMEOUT,
						() -> reply.completeExceptionally(failure(PlatformException.Kind.UNKNOWN_OUTCOME)));
				return;
			}
			if (this.alive.getAsBoolean()) {
				reply.complete(result);
			}
		}

	}

}
