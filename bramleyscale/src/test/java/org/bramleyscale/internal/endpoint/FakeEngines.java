package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * An engine client with in-memory engines that report their load, keep holds and can be
 * restarted. Generation, orders and service calls are not supported.
 */
public final class FakeEngines implements EngineClient {

	private static final Duration LATENCY = Duration.ofMillis(2);

	private final ManualScheduler scheduler;

	private final Map<EndpointId, Engine> engines = new HashMap<>();

	public FakeEngines(ManualScheduler scheduler) {
		this.scheduler = scheduler;
	}

	public Engine engine(String name) {
		return this.engines.computeIfAbsent(new EndpointId(name), (id) -> new Engine());
	}

	@Override
	public CompletableFuture<LoadReport> report(EndpointEntry endpoint) {
		Engine engine = engine(endpoint.name().value());
		engine.polls++;
		return respond(engine, () -> engine.report(endpoint.name()));
	}

	@Override
	public CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after) {
		Engine engine = engine(endpoint.name().value());
		return respond(engine, () -> engine.events.stream().filter((event) -> event.sequence() > after).toList());
	}

	@Override
	public CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint) {
		Engine engine = engine(endpoint.name().value());
		return respond(engine, engine::liveHolds);
	}

	@Override
	public CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold) {
		Engine engine = engine(endpoint.name().value());
		return respond(engine, () -> engine.tryHold(hold));
	}

	@Override
	public CompletableFuture<Void> release(EndpointEntry endpoint, String hold) {
		Engine engine = engine(endpoint.name().value());
		if (engine.releasesToFail > 0) {
			engine.releasesToFail--;
			return connectionFailure();
		}
		return respond(engine, () -> {
			engine.holds.remove(hold);
			return null;
		});
	}

	@Override
	public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		throw new UnsupportedOperationException();
	}

	@Override
	public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call) {
		throw new UnsupportedOperationException();
	}

	private <T> CompletableFuture<T> respond(Engine engine, java.util.function.Supplier<T> answer) {
		if (engine.down) {
			return connectionFailure();
		}
		CompletableFuture<T> future = new CompletableFuture<>();
		this.scheduler.schedule(LATENCY, () -> future.complete(answer.get()));
		return future;
	}

	private static <T> CompletableFuture<T> connectionFailure() {
		return CompletableFuture
			.failedFuture(new ServingException(ErrorCode.ENDPOINT_FAILED, Ran.NO, Step.CONNECT, "engine", "no answer"));
	}

	/**
	 * The state of one engine, which a test may set.
	 */
	public final class Engine {

		public int slots = 16;

		public long kvCapacity = 1_000_000;

		public int running;

		public long kvUsed;

		public long boot = 1;

		public boolean leaving;

		public boolean down;

		public int releasesToFail;

		public int polls;

		public final List<CacheEvent> events = new ArrayList<>();

		private final Map<String, TimedHold> holds = new LinkedHashMap<>();

		private long sequence;

		public void restart() {
			this.boot++;
			this.holds.clear();
			this.kvUsed = 0;
			this.running = 0;
		}

		/** Ends a request; a request started in an earlier boot has no effect. */
		public void requestEnded(long startBoot, long kvTokens) {
			if (startBoot == this.boot) {
				this.running--;
				this.kvUsed -= kvTokens;
			}
		}

		public List<EngineHold> liveHolds() {
			long now = FakeEngines.this.scheduler.nanos();
			this.holds.values().removeIf((hold) -> hold.expiresAt <= now);
			return this.holds.values().stream().map((hold) -> hold.hold).toList();
		}

		public long heldKv() {
			return liveHolds().stream().mapToLong(EngineHold::kvTokens).sum();
		}

		private boolean tryHold(EngineHold hold) {
			liveHolds();
			TimedHold previous = this.holds.remove(hold.hold());
			if (this.kvUsed + heldKv() + hold.kvTokens() > this.kvCapacity) {
				if (previous != null) {
					this.holds.put(hold.hold(), previous);
				}
				return false;
			}
			long expiresAt = FakeEngines.this.scheduler.nanos() + hold.expiresIn().toNanos();
			this.holds.put(hold.hold(), new TimedHold(hold, expiresAt));
			return true;
		}

		private LoadReport report(EndpointId id) {
			this.sequence++;
			return new LoadReport(id, this.boot, this.sequence, this.running, 0, this.slots, 0, this.kvUsed + heldKv(),
					this.kvCapacity, this.leaving, List.of("m"));
		}

	}

	private record TimedHold(EngineHold hold, long expiresAt) {
	}

}
