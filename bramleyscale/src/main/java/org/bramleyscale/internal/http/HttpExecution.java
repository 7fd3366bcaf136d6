package org.bramleyscale.internal.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Factory;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientSpec;

/**
 * The HTTP clients of a process and the bridge from their threads to the scheduler's
 * thread.
 *
 * <p>
 * Invariant: each future given out completes on the scheduler's thread, at the latest
 * when its timeout has passed. One instance is shared by all HTTP adapters of a process.
 * Safe for use by multiple threads. <pre>
 * execution.call(timeout, () -&gt; execution.freshClient().get(uri).map(Reply::of))
 *     .whenComplete(this::answered);
 * </pre>
 */
public final class HttpExecution implements AutoCloseable {

	private static final int THREADS = 2;

	private static final int LARGEST_REPLY = 64 * 1024 * 1024;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private final Scheduler scheduler;

	private final ExecController controller;

	private final HttpClient freshClient;

	/**
	 * Starts the threads.
	 * @param scheduler the process's scheduler
	 */
	public HttpExecution(Scheduler scheduler) {
		this.scheduler = scheduler;
		// Ratpack 1.9 has no public factory for a controller without a server.
		this.controller = new DefaultExecController(THREADS);
		this.freshClient = newClient();
	}

	/**
	 * The client, which opens a connection for each call.
	 * <p>
	 * A kept connection may have gone silent, and what is read on it may belong to an
	 * earlier call: Ratpack drops bytes that arrive between two calls and takes those
	 * that arrive after the next request for its response.
	 * @return the client without a pool
	 */
	public HttpClient freshClient() {
		return this.freshClient;
	}

	/**
	 * The controller of the client's threads, to fork executions of one's own.
	 * @return the controller
	 */
	public ExecController controller() {
		return this.controller;
	}

	/**
	 * Runs a promise on the clients' threads.
	 * @param timeout after which the future fails with a {@link TimeoutException}; the
	 * promise itself goes on, so its request needs a read timeout of its own
	 * @param promise creates the promise; bodies of responses must be read within it,
	 * since their memory is released when it ends
	 * @param <T> the type of the result
	 * @return completes on the scheduler's thread
	 */
	public <T> CompletableFuture<T> call(Duration timeout, Factory<? extends Promise<T>> promise) {
		CompletableFuture<T> future = new CompletableFuture<>();
		Cancellable expiry = this.scheduler.schedule(timeout,
				() -> future.completeExceptionally(new TimeoutException("no reply within " + timeout)));
		try {
			this.controller.fork()
				.onError((failure) -> fail(future, expiry, failure))
				.start((execution) -> promise.create().then((value) -> complete(future, expiry, value)));
		}
		catch (RuntimeException ex) {
			fail(future, expiry, ex);
		}
		return future;
	}

	@Override
	public void close() {
		this.freshClient.close();
		this.controller.close();
	}

	private <T> void complete(CompletableFuture<T> future, Cancellable expiry, T value) {
		this.scheduler.execute(() -> {
			expiry.cancel();
			future.complete(value);
		});
	}

	private void fail(CompletableFuture<?> future, Cancellable expiry, Throwable failure) {
		this.scheduler.execute(() -> {
			expiry.cancel();
			future.completeExceptionally(failure);
		});
	}

	private HttpClient newClient() {
		try {
			return HttpClient.of(this::configure);
		}
		catch (Exception ex) {
			throw new IllegalStateException("The HTTP client could not be configured", ex);
		}
	}

	private void configure(HttpClientSpec spec) {
		spec.execController(this.controller);
		spec.poolSize(0);
		spec.connectTimeout(CONNECT_TIMEOUT);
		spec.maxContentLength(LARGEST_REPLY);
	}

}
