package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.platform.HttpObjectStore;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.EventLoop;

/**
 * Fixture of the HTTP store over the loopback interface.
 */
final class HttpFixture implements StoreFixture {

	private static final long WAIT_LIMIT_SECONDS = 60;

	private final EventLoop loop = new EventLoop("caller");

	private final HttpExecution execution = new HttpExecution(this.loop);

	private final PlatformServer server;

	HttpFixture(PlatformLimits limits) throws Exception {
		this.server = new PlatformServer(0, limits);
	}

	@Override
	public <T> T call(Supplier<CompletableFuture<T>> call) throws Exception {
		return CompletableFuture.supplyAsync(call, this.loop::execute)
			.get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS)
			.get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public ObjectStore store() {
		return store(Duration.ofSeconds(20));
	}

	@Override
	public ObjectStore shortTimeoutStore() {
		return store(Duration.ofMillis(400));
	}

	@Override
	public void change(Consumer<PlatformService> change) throws Exception {
		this.server.change(change).get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void advance(Duration time) throws Exception {
		CountDownLatch passed = new CountDownLatch(1);
		change((service) -> service.scheduler().schedule(time, passed::countDown));
		passed.await(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void close() throws Exception {
		this.server.close();
		this.execution.close();
		this.loop.close();
	}

	@Override
	public String toString() {
		return "over HTTP";
	}

	String address() {
		return this.server.address();
	}

	void stopServer() throws Exception {
		this.server.close();
	}

	private ObjectStore store(Duration timeout) {
		return new HttpObjectStore(this.loop, this.execution, this.server.address(), timeout, new MetricRegistry());
	}

}
