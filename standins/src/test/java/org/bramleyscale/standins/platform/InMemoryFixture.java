package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Fixture of the in-memory store on a manual clock.
 */
final class InMemoryFixture implements StoreFixture {

	private static final Duration CALL_LIMIT = Duration.ofMinutes(1);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final PlatformService service;

	InMemoryFixture(PlatformLimits limits) {
		this.service = new PlatformService(this.scheduler, limits);
	}

	@Override
	public <T> T call(Supplier<CompletableFuture<T>> call) throws Exception {
		CompletableFuture<T> future = call.get();
		Duration step = Duration.ofMillis(10);
		this.scheduler.runDue();
		for (Duration passed = Duration.ZERO; !future.isDone()
				&& passed.compareTo(CALL_LIMIT) < 0; passed = passed.plus(step)) {
			this.scheduler.advance(step);
		}
		try {
			return future.getNow(null);
		}
		catch (CompletionException ex) {
			throw new ExecutionException(ex.getCause());
		}
	}

	@Override
	public ObjectStore store() {
		return new InMemoryObjectStore(this.scheduler, this.service, Duration.ofSeconds(20));
	}

	@Override
	public ObjectStore shortTimeoutStore() {
		return new InMemoryObjectStore(this.scheduler, this.service, Duration.ofMillis(400));
	}

	@Override
	public void change(Consumer<PlatformService> change) {
		change.accept(this.service);
	}

	@Override
	public void advance(Duration time) {
		this.scheduler.advance(time);
	}

	@Override
	public void close() {
	}

	@Override
	public String toString() {
		return "in memory";
	}

}
