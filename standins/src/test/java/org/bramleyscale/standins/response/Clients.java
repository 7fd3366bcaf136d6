package org.bramleyscale.standins.response;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.http.HttpEngineClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.platform.HttpObjectStore;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.time.EventLoop;

/**
 * The clients of a daemon. Each call is told as a line: what the caller gets, or that it
 * failed. Used by one thread.
 */
final class Clients implements AutoCloseable {

	/** A failure after which the caller knows nothing of the call. */
	static final String FAILED = "failed";

	/** A failure of an attempt that the engine had accepted. */
	static final String FAILED_AFTER_ITS_START = "failed after its start";

	static final RequestId ID = new RequestId(new Incarnation(new VmId("entry-1"), 36), "7");

	private static final Duration LIMIT = Duration.ofSeconds(2);

	private static final long PATIENCE_SECONDS = 20;

	private final EventLoop loop = new EventLoop("clients");

	private final HttpExecution http = new HttpExecution(this.loop);

	private final HttpEngineClient endpoints = new HttpEngineClient(this.loop, this.http);

	String call(int port, String method) {
		ServiceCall call = new ServiceCall(ID, method, "/bookings/1", Map.of(), new byte[0], LIMIT);
		return told(() -> this.endpoints.call(entry(port), call).thenApply(Clients::line));
	}

	String report(int port) {
		return told(() -> this.endpoints.report(entry(port)).thenApply(Object::toString));
	}

	String cacheEvents(int port) {
		return told(() -> this.endpoints.cacheEvents(entry(port), 0).thenApply(Object::toString));
	}

	String cancel(int port) {
		return told(() -> this.endpoints.cancel(entry(port), ID, 1).thenApply(Object::toString));
	}

	String generate(int port, int attempt) {
		EngineRequest request = new EngineRequest(ID, attempt, new ModelName("assist"), "prompt", "", 0, 5, 0, LIMIT,
				List.of());
		return told(() -> {
			Answer answer = new Answer(attempt);
			this.endpoints.generate(entry(port), request, answer);
			return answer.told;
		});
	}

	String read(int port, String name) {
		return told(() -> store(port).read(key(name))
			.thenApply((found) -> found
				.map((object) -> object.version() + " " + new String(object.value(), StandardCharsets.UTF_8))
				.orElse("none")));
	}

	String write(int port, String name) {
		return told(() -> store(port).write(key(name), "value".getBytes(StandardCharsets.UTF_8), 1)
			.thenApply((object) -> "version " + object.version()));
	}

	@Override
	public void close() {
		this.http.close();
		this.loop.close();
	}

	private HttpObjectStore store(int port) {
		return new HttpObjectStore(this.loop, this.http, "127.0.0.1:" + port, LIMIT, new MetricRegistry());
	}

	private String told(Supplier<CompletableFuture<String>> call) {
		return CompletableFuture.supplyAsync(call, this.loop::execute)
			.thenCompose((result) -> result)
			.exceptionally(Clients::failure)
			.orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS)
			.join();
	}

	private static String failure(Throwable thrown) {
		Throwable cause = (thrown instanceof CompletionException) ? thrown.getCause() : thrown;
		if (cause instanceof PlatformException failure) {
			return failure.getMessage().startsWith("status") ? "refused: " + failure.getMessage() : FAILED;
		}
		if (cause instanceof ServingException failure && failure.ran() != Ran.UNKNOWN) {
			return (failure.ran() == Ran.NO) ? "refused: " + failure.getMessage() : FAILED_AFTER_ITS_START;
		}
		return FAILED;
	}

	private static String line(ServiceReply reply) {
		return reply.status() + " " + reply.headers().get("Content-Type") + " "
				+ new String(reply.body(), StandardCharsets.UTF_8);
	}

	private static ObjectKey key(String name) {
		return new ObjectKey("lease", name);
	}

	private static EndpointEntry entry(int port) {
		return new EndpointEntry(new EndpointId("engine-1"), new ServiceName("hire"), new DataCentre("rawang"),
				"127.0.0.1:" + port, List.of(new ModelName("assist")), true, false);
	}

	/**
	 * The answer of an attempt. Confined to the loop's thread.
	 */
	private static final class Answer implements EngineListener {

		private final CompletableFuture<String> told = new CompletableFuture<>();

		private final int attempt;

		private final StringBuilder text = new StringBuilder();

		private Answer(int attempt) {
			this.attempt = attempt;
		}

		@Override
		public void accepted() {
			this.text.append("accepted ");
		}

		@Override
		public void frame(EngineFrame frame) {
			boolean own = frame.attempt() == this.attempt && frame.id().equals(ID);
			this.text.append(own ? frame.text() : "frame of another attempt").append(' ');
		}

		@Override
		public void completed(EngineUsage usage) {
			this.told.complete(this.text + "done " + usage.answerTokens());
		}

		@Override
		public void failed(ServingException failure) {
			this.told.completeExceptionally(failure);
		}

	}

}
