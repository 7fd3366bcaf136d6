package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.EndpointId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Endpoints that never fail and answer each request within one second.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class QuickEngines implements EngineClient {

	private static final Duration ANSWER_TIME = Duration.ofSeconds(1);

	private static final int SLOTS = 64;

	private static final long KV_TOKENS = 2_000_000;

	private final Scheduler scheduler;

	private final Map<EndpointId, Integer> running = new HashMap<>();

	private long sequence;

	private long reports;

	QuickEngines(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * How many reports were asked for.
	 * @return the number since the start
	 */
	long reports() {
		return this.reports;
	}

	@Override
	public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		this.running.merge(endpoint.name(), 1, Integer::sum);
		this.scheduler.execute(listener::accepted);
		return this.scheduler.schedule(ANSWER_TIME, () -> answer(endpoint, request, listener));
	}

	@Override
	public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener) {
		throw new UnsupportedOperationException("no stream goes silent here");
	}

	@Override
	public CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		return later(CancelResult.FINISHED);
	}

	@Override
	public CompletableFuture<LoadReport> report(EndpointEntry endpoint) {
		this.reports++;
		int at = this.running.getOrDefault(endpoint.name(), 0);
		return later(new LoadReport(endpoint.name(), 1, this.sequence++, at, 0, SLOTS, 0, 1000L * at, KV_TOKENS, false,
				endpoint.models().stream().map(Object::toString).toList()));
	}

	@Override
	public CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after) {
		return later(List.of());
	}

	@Override
	public CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order) {
		return later(null);
	}

	@Override
	public CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint) {
		return later(List.of());
	}

	@Override
	public CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold) {
		return later(true);
	}

	@Override
	public CompletableFuture<Void> release(EndpointEntry endpoint, String hold) {
		return later(null);
	}

	@Override
	public CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call) {
		return later(new ServiceReply(200, Map.of(), new byte[0]));
	}

	private void answer(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		this.running.merge(endpoint.name(), -1, Integer::sum);
		for (int offset = 0; offset < request.maxTokens(); offset++) {
			listener.frame(new EngineFrame(request.id(), request.attempt(), offset, 1, "word "));
		}
		listener.completed(new EngineUsage(request.prompt().length() / 4, 0, request.maxTokens(), "length"));
	}

	private <T> CompletableFuture<T> later(T value) {
		CompletableFuture<T> reply = new CompletableFuture<>();
		this.scheduler.execute(() -> reply.complete(value));
		return reply;
	}

}
