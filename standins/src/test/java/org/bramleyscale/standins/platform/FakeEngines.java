package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Fake engines that accept only orders, which the simulated network can delay.
 */
final class FakeEngines {

	private final Scheduler scheduler;

	private final Map<EndpointId, Engine> engines = new TreeMap<>((one, other) -> one.value().compareTo(other.value()));

	private final List<String> log = new ArrayList<>();

	FakeEngines(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Returns the orders that arrived.
	 * @return each as {@code seconds engine kind desired fence}, followed by
	 * {@code refused} if the engine refused it
	 */
	List<String> log() {
		return this.log;
	}

	Set<String> models(String engine) {
		return engine(new EndpointId(engine)).models;
	}

	void restart(String engine) {
		Engine restarted = engine(new EndpointId(engine));
		restarted.boot++;
		restarted.models.clear();
	}

	Optional<LoadReport> report(EndpointId id) {
		Engine engine = engine(id);
		return Optional.of(new LoadReport(id, engine.boot, 1, 0, 0, 1, 0, 0, 1, false, List.copyOf(engine.models)));
	}

	static EndpointEntry entry(String name, boolean checksFencing, String... models) {
		List<ModelName> names = List.of(models).stream().map(ModelName::new).toList();
		return new EndpointEntry(new EndpointId(name), new ServiceName("boards"), new DataCentre("quan1"),
				"127.0.0.1:1", names, checksFencing, false);
	}

	private Engine engine(EndpointId id) {
		return this.engines.computeIfAbsent(id, (key) -> new Engine());
	}

	private void deliver(EndpointEntry endpoint, EngineOrder order, CompletableFuture<Void> reply) {
		Engine engine = engine(endpoint.name());
		long seconds = Duration.ofNanos(this.scheduler.nanos()).toSeconds();
		String line = seconds + " " + endpoint.name() + " " + order.kind() + " " + order.desired() + " "
				+ order.fence();
		if (endpoint.checksFencing() && order.fence() < engine.fence) {
			this.log.add(line + " refused");
			reply.completeExceptionally(new ServingException(ErrorCode.CONFLICT, Ran.NO, Step.ORDER,
					endpoint.name().value(), "fencing number " + order.fence() + " is stale"));
			return;
		}
		this.log.add(line);
		engine.execute(order);
		reply.complete(null);
	}

	/**
	 * One engine.
	 */
	private static final class Engine {

		private final Set<String> models = new TreeSet<>();

		private long boot = 1;

		private long fence;

		private void execute(EngineOrder order) {
			this.fence = Math.max(this.fence, order.fence());
			if (order.kind() == EngineOrder.Kind.LOAD_MODEL) {
				this.models.add(order.desired());
			}
			else {
				this.models.remove(order.desired());
			}
		}

	}

	/**
	 * One daemon's client of the engines, with its own network delay.
	 */
	final class Client implements EngineClient {

		private Duration delay = Duration.ZERO;

		void delay(Duration delay) {
			this.delay = delay;
		}

		@Override
		public CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order) {
			CompletableFuture<Void> reply = new CompletableFuture<>();
			FakeEngines.this.scheduler.schedule(this.delay, () -> deliver(endpoint, order, reply));
			return reply;
		}

		@Override
		public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset,
				EngineListener listener) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<LoadReport> report(EndpointEntry endpoint) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Void> release(EndpointEntry endpoint, String hold) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call) {
			throw new UnsupportedOperationException();
		}

	}

}
