package org.bramleyscale.standins.engine;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.http.HttpEngineClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.EventLoop;

/**
 * An engine on loopback and a client for it.
 */
final class EngineFixture implements AutoCloseable {

	static final String PROMPT = "how much is a jaw crusher for a week";

	static final RequestId ID = new RequestId(new Incarnation(new VmId("entry-1"), 36), "7");

	private static final long PATIENCE_SECONDS = 20;

	final EventLoop loop = new EventLoop("engine-test");

	final EngineServer engine;

	final HttpEngineClient client;

	private final HttpExecution http = new HttpExecution(this.loop);

	EngineFixture(EngineParameters parameters) throws Exception {
		this.engine = new EngineServer(new EndpointId("engine-1"), InetAddress.getLoopbackAddress(), 0, parameters,
				this.loop);
		this.engine.start();
		this.client = new HttpEngineClient(this.loop, this.http);
	}

	static EngineParameters fast() {
		return EngineParameters.SMALL.withSpeed(1_000_000, 4096, Duration.ofMillis(2))
			.withRoom(4, 10_000)
			.withLags(Duration.ofMillis(10), Duration.ZERO, 0);
	}

	EndpointEntry entry() {
		return entry(this.engine.port());
	}

	EndpointEntry entry(int port) {
		return new EndpointEntry(new EndpointId("engine-1"), new ServiceName("hire"), new DataCentre("rawang"),
				"127.0.0.1:" + port, List.of(new ModelName("assist")), true, false);
	}

	static EngineRequest request(int attempt, int maxTokens) {
		return request(attempt, "assist", PROMPT, "", maxTokens, Duration.ofSeconds(20), List.of());
	}

	static EngineRequest request(int attempt, String model, String prompt, String delivered, int maxTokens,
			Duration timeLeft, List<String> holds) {
		return new EngineRequest(ID, attempt, new ModelName(model), prompt, delivered, delivered.isEmpty() ? 0 : 1,
				maxTokens, 0, timeLeft, holds);
	}

	RecordingListener generate(EngineRequest request) {
		return generate(this.engine.port(), request);
	}

	RecordingListener generate(int port, EngineRequest request) {
		RecordingListener listener = new RecordingListener();
		this.loop.execute(() -> this.client.generate(entry(port), request, listener));
		return listener;
	}

	/**
	 * Runs a call on the scheduler's thread and waits for its result.
	 * @param call the call
	 * @param <T> the type of the result
	 * @return the result
	 * @throws Exception the call's failure as the caller sees it
	 */
	<T> T call(Supplier<CompletableFuture<T>> call) throws Exception {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> call.get().whenComplete((value, failure) -> {
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(value);
			}
		}));
		try {
			return result.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof ServingException failure) {
				throw failure;
			}
			throw ex;
		}
	}

	/**
	 * Runs a call that fails.
	 * @param call the call
	 * @param <T> the type of the result that doesn't come
	 * @return the failure
	 * @throws Exception if it didn't fail with a {@link ServingException}
	 */
	<T> ServingException failureOf(Supplier<CompletableFuture<T>> call) throws Exception {
		T value;
		try {
			value = call(call);
		}
		catch (ServingException ex) {
			return ex;
		}
		throw new AssertionError("the call did not fail but gave " + value);
	}

	/**
	 * Reads the engine's state on its thread.
	 * @param reading the reading
	 * @param <T> the type of what is read
	 * @return what was read
	 * @throws Exception if it takes too long
	 */
	<T> T engine(Supplier<T> reading) throws Exception {
		return call(() -> CompletableFuture.completedFuture(reading.get()));
	}

	void fault(Fault fault) throws Exception {
		engine(() -> {
			this.engine.state().fault(fault, true);
			return true;
		});
	}

	@Override
	public void close() throws Exception {
		this.http.close();
		this.engine.close();
		this.loop.close();
	}

}
