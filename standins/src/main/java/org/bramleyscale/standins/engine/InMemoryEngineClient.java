package org.bramleyscale.standins.engine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
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
import org.bramleyscale.standins.service.Booking;
import org.bramleyscale.standins.service.ServiceFault;

/**
 * One daemon's calls to endpoints without sockets, with the outcomes that the HTTP client
 * gives for the same faults.
 *
 * <p>
 * {@link Ran#NO} is said only if no connection was made or the endpoint said so. Plain
 * services take bookings only. Confined to the thread that the schedulers share.
 */
public final class InMemoryEngineClient implements EngineClient {

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int HTTP_CREATED = 201;

	private static final int HTTP_UNAVAILABLE = 503;

	private final Scheduler scheduler;

	private final InMemoryEndpoints endpoints;

	private final Predicate<EndpointId> reachable;

	/**
	 * Creates a client.
	 * @param scheduler the daemon's scheduler
	 * @param endpoints the endpoints of all daemons
	 * @param reachable whether messages to and from an endpoint arrive now
	 */
	public InMemoryEngineClient(Scheduler scheduler, InMemoryEndpoints endpoints, Predicate<EndpointId> reachable) {
		this.scheduler = scheduler;
		this.endpoints = endpoints;
		this.reachable = reachable;
	}

	@Override
	public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		InMemoryStream stream = stream(endpoint, request.id(), request.attempt(), Step.START, listener);
		if (request.timeLeft().isNegative() || request.timeLeft().isZero()) {
			this.scheduler.execute(stream::refuseForTime);
			return stream;
		}
		stream.limit(this.scheduler, request.timeLeft());
		Generation generation = new Generation(new AttemptKey(request.id().toString(), request.attempt()),
				request.model().value(), Prompt.of(request.prompt()), request.delivered(), request.firstOffset(),
				request.maxTokens(), request.priority(), request.holds());
		open(endpoint, stream, (target, connection) -> {
			this.endpoints.observer().taken(endpoint.name(), request.id().toString());
			if (target.engine().has(Fault.DROP_STARTS)) {
				target.engine().generate(generation, new SilentListener());
				connection.cut();
				return;
			}
			target.engine().generate(generation, stream);
		});
		return stream;
	}

	@Override
	public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener) {
		InMemoryStream stream = stream(endpoint, id, attempt, Step.RESUME, listener);
		AttemptKey key = new AttemptKey(id.toString(), attempt);
		open(endpoint, stream, (target, connection) -> target.engine().resume(key, offset, stream));
		return stream;
	}

	private InMemoryStream stream(EndpointEntry endpoint, RequestId id, int attempt, Step step,
			EngineListener listener) {
		return new InMemoryStream(this.endpoints.endpoint(endpoint.name()), this.endpoints.observer(), id, attempt,
				step, listener);
	}

	private void open(EndpointEntry endpoint, InMemoryStream stream, Work work) {
		InMemoryConnection connection = connection(endpoint, stream::broken);
		stream.connection(connection);
		connection.open((target) -> work.run(target, connection));
	}

	private InMemoryConnection connection(EndpointEntry endpoint, Consumer<Boolean> whenBroken) {
		return new InMemoryConnection(this.scheduler, this.endpoints, this.endpoints.endpoint(endpoint.name()),
				() -> this.reachable.test(endpoint.name()), whenBroken);
	}

	@Override
	public CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		AttemptKey key = new AttemptKey(id.toString(), attempt);
		Reply<CancelResult> reply = new Reply<>(endpoint, Step.CANCEL, CONTROL_TIMEOUT);
		return reply.start((target, connection) -> {
			if (!target.engine().has(Fault.DROP_CANCELS)) {
				reply.send(target.engine().cancel(key));
			}
		});
	}

	@Override
	public CompletableFuture<LoadReport> report(EndpointEntry endpoint) {
		return control(endpoint, Step.CONNECT, InMemoryEndpoint::report);
	}

	@Override
	public CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after) {
		return control(endpoint, Step.CONNECT, (target) -> target.engine().cacheEvents(after));
	}

	@Override
	public CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order) {
		Reply<Void> reply = new Reply<>(endpoint, Step.ORDER, CONTROL_TIMEOUT);
		return reply.start((target, connection) -> {
			if (target.engine().order(order)) {
				reply.send(null);
			}
			else {
				reply.refuse(ErrorCode.CONFLICT, "the engine has seen a newer fencing number");
			}
		});
	}

	@Override
	public CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint) {
		return control(endpoint, Step.RESERVE, (target) -> target.engine().holds());
	}

	@Override
	public CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold) {
		return control(endpoint, Step.RESERVE, (target) -> target.engine().hold(hold));
	}

	@Override
	public CompletableFuture<Void> release(EndpointEntry endpoint, String hold) {
		return control(endpoint, Step.RESERVE, (target) -> {
			target.engine().release(hold);
			return null;
		});
	}

	@Override
	public CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call) {
		Reply<ServiceReply> reply = new Reply<>(endpoint, Step.START, call.timeLeft());
		String text = new String(call.body(), StandardCharsets.UTF_8);
		return reply.start((target, connection) -> {
			this.endpoints.observer().taken(endpoint.name(), call.id().toString());
			target.service().book(call.id().toString(), text, (booking) -> {
				if (target.service().has(ServiceFault.DIE_AFTER_EFFECT)
						|| target.service().has(ServiceFault.DIE_BEFORE_EFFECT)) {
					connection.cut();
				}
				else {
					reply.send(serviceReply(booking));
				}
			});
		});
	}

	private static ServiceReply serviceReply(Booking booking) {
		int status = (booking != null) ? HTTP_CREATED : HTTP_UNAVAILABLE;
		Object body = (booking != null) ? booking : Map.of("refused", true);
		return new ServiceReply(status, Map.of("content-type", EngineWire.JSON), EngineWire.json(body));
	}

	private <T> CompletableFuture<T> control(EndpointEntry endpoint, Step step, Function<InMemoryEndpoint, T> work) {
		Reply<T> reply = new Reply<>(endpoint, step, CONTROL_TIMEOUT);
		return reply.start((target, connection) -> reply.send(work.apply(target)));
	}

	/**
	 * What an endpoint does with a call.
	 */
	private interface Work {

		void run(InMemoryEndpoint target, InMemoryConnection connection);

	}

	/**
	 * One call that is answered whole.
	 *
	 * @param <T> the answer
	 */
	private final class Reply<T> {

		private final CompletableFuture<T> result = new CompletableFuture<>();

		private final InMemoryConnection connection;

		private final Step step;

		private final String peer;

		private Reply(EndpointEntry endpoint, Step step, Duration limit) {
			this.step = step;
			this.peer = endpoint.name().value();
			this.connection = connection(endpoint, this::broken);
			Cancellable expiry = InMemoryEngineClient.this.scheduler.schedule(limit,
					() -> fail(Ran.UNKNOWN, this.step, "no reply in time"));
			this.result.whenComplete((value, failure) -> {
				expiry.cancel();
				this.connection.close();
			});
		}

		private CompletableFuture<T> start(Work work) {
			this.connection.open((target) -> work.run(target, this.connection));
			return this.result;
		}

		private void send(T value) {
			this.connection.reply(() -> this.result.complete(value));
		}

		private void refuse(ErrorCode code, String message) {
			this.connection.reply(() -> this.result
				.completeExceptionally(new ServingException(code, Ran.NO, this.step, this.peer, message)));
		}

		private void broken(boolean connected) {
			if (connected) {
				fail(Ran.UNKNOWN, this.step, "the connection was cut");
			}
			else {
				fail(Ran.NO, Step.CONNECT, "can't connect");
			}
		}

		private void fail(Ran ran, Step where, String message) {
			this.result
				.completeExceptionally(new ServingException(ErrorCode.ENDPOINT_FAILED, ran, where, this.peer, message));
		}

	}

}
