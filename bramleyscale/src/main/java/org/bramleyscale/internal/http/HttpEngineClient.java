package org.bramleyscale.internal.http;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

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
import ratpack.exec.Blocking;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.func.Factory;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * Calls endpoints over HTTP.
 *
 * <p>
 * The engines' wire API, all bodies in JSON: <pre>
 * POST   /v1/generate                          the request; answered by events
 * GET    /v1/attempts/ID/ATTEMPT/stream?offset=N  the rest of an answer; by events
 * DELETE /v1/attempts/ID/ATTEMPT               {"result": a cancel result}
 * GET    /v1/report                            a load report
 * GET    /v1/cache-events?after=N              {"events": [...]}
 * POST   /v1/orders                            409 if the fence is old
 * GET    /v1/holds                             {"holds": [...]}
 * PUT    /v1/holds/HOLD                        {"held": true or false}
 * DELETE /v1/holds/HOLD
 * </pre> The events are {@code accepted}, {@code frame} (id, attempt, offset, tokens,
 * text), {@code done} (what was used) and {@code error} (code, ran, message,
 * retryAfterMillis). A refusal is an HTTP error with the same members.
 *
 * <p>
 * Invariants: no call is ever sent twice by this class. {@link Ran#NO} is said only if no
 * connection was made or the engine said so. Each call uses a connection of its own: on
 * one that was used before, only its position tells that a response belongs to a call, so
 * a repeated response, or a part of one, would be taken for the next one or for its
 * beginning. Confined to the scheduler's thread.
 */
public final class HttpEngineClient implements EngineClient {

	private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration READ_MARGIN = Duration.ofSeconds(1);

	/** The request's own deadline is kept by the caller of resume. */
	private static final Duration RESUME_READ_TIMEOUT = Duration.ofHours(24);

	private static final int LARGEST_ON_HTTP_THREAD = 128 << 10;

	private static final int HTTP_CONFLICT = 409;

	private static final int HTTP_ERRORS = 400;

	private final Scheduler scheduler;

	private final HttpExecution http;

	private final Duration connectTimeout;

	private final Mailbox mailbox;

	/**
	 * Creates a client.
	 * @param scheduler the daemon's scheduler
	 * @param http the daemon's HTTP clients; not closed by this class
	 */
	public HttpEngineClient(Scheduler scheduler, HttpExecution http) {
		this(scheduler, http, DEFAULT_CONNECT_TIMEOUT);
	}

	/**
	 * Creates a client.
	 * @param scheduler the daemon's scheduler
	 * @param http the daemon's HTTP clients; not closed by this class
	 * @param connectTimeout how long opening a connection to an endpoint may take
	 */
	public HttpEngineClient(Scheduler scheduler, HttpExecution http, Duration connectTimeout) {
		this.scheduler = scheduler;
		this.http = http;
		this.connectTimeout = connectTimeout;
		this.mailbox = new Mailbox(scheduler);
	}

	@Override
	public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		EngineStream stream = stream(endpoint, request.id(), Step.START, listener);
		if (request.timeLeft().isNegative() || request.timeLeft().isZero()) {
			stream.refuse(notSent(endpoint, ErrorCode.DEADLINE_EXCEEDED, "no time was left"));
			return stream;
		}
		stream.timer(this.scheduler.schedule(request.timeLeft(), () -> stream.timedOut(request.timeLeft())));
		URI uri = uri(endpoint, "/v1/generate");
		open(stream, () -> body(request).flatMap((bytes) -> this.http.freshClient().requestStream(uri, (spec) -> {
			configure(spec.post(), request.timeLeft().plus(READ_MARGIN));
			spec.body((body) -> body.type(ErrorBody.JSON).bytes(bytes));
		})));
		return stream;
	}

	/**
	 * Writes the order. Writing a long prompt takes long enough to hold up all streams of
	 * the HTTP thread, so it is done on another.
	 * @param request the order
	 * @return its JSON
	 */
	private static Promise<byte[]> body(EngineRequest request) {
		if (request.prompt().length() <= LARGEST_ON_HTTP_THREAD) {
			return Promise.sync(() -> EngineJson.request(request));
		}
		return Blocking.get(() -> EngineJson.request(request));
	}

	@Override
	public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener) {
		EngineStream stream = stream(endpoint, id, Step.RESUME, listener);
		URI uri = uri(endpoint, attemptPath(id, attempt) + "/stream?offset=" + offset);
		open(stream,
				() -> this.http.freshClient().requestStream(uri, (spec) -> configure(spec.get(), RESUME_READ_TIMEOUT)));
		return stream;
	}

	private EngineStream stream(EndpointEntry endpoint, RequestId id, Step step, EngineListener listener) {
		return new EngineStream(endpoint, id, step, listener, this.mailbox);
	}

	private void open(EngineStream stream, Factory<Promise<StreamedResponse>> request) {
		this.http.controller()
			.fork()
			.onError(stream::broken)
			.start((execution) -> request.create().then(stream::received));
	}

	private void configure(RequestSpec spec, Duration readTimeout) {
		spec.redirects(0).decompressResponse(false).connectTimeout(this.connectTimeout).readTimeout(readTimeout);
	}

	@Override
	public CompletableFuture<CancelResult> cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		return control(endpoint, Step.CANCEL, attemptPath(id, attempt), RequestSpec::delete,
				(reply) -> CancelResult.valueOf(EngineJson.tree(reply).path("result").asText()));
	}

	@Override
	public CompletableFuture<LoadReport> report(EndpointEntry endpoint) {
		return control(endpoint, Step.CONNECT, "/v1/report", RequestSpec::get,
				(reply) -> EngineJson.report(endpoint.name(), reply));
	}

	@Override
	public CompletableFuture<List<CacheEvent>> cacheEvents(EndpointEntry endpoint, long after) {
		return control(endpoint, Step.CONNECT, "/v1/cache-events?after=" + after, RequestSpec::get,
				EngineJson::cacheEvents);
	}

	@Override
	public CompletableFuture<Void> order(EndpointEntry endpoint, EngineOrder order) {
		return control(endpoint, Step.ORDER, "/v1/orders",
				(spec) -> spec.post().body((body) -> body.type(ErrorBody.JSON).bytes(EngineJson.order(order))),
				(reply) -> null);
	}

	@Override
	public CompletableFuture<List<EngineHold>> holds(EndpointEntry endpoint) {
		return control(endpoint, Step.RESERVE, "/v1/holds", RequestSpec::get, EngineJson::holds);
	}

	@Override
	public CompletableFuture<Boolean> hold(EndpointEntry endpoint, EngineHold hold) {
		return control(endpoint, Step.RESERVE, "/v1/holds/" + hold.hold(),
				(spec) -> spec.put().body((body) -> body.type(ErrorBody.JSON).bytes(EngineJson.hold(hold))),
				(reply) -> EngineJson.tree(reply).path("held").asBoolean());
	}

	@Override
	public CompletableFuture<Void> release(EndpointEntry endpoint, String hold) {
		return control(endpoint, Step.RESERVE, "/v1/holds/" + hold, RequestSpec::delete, (reply) -> null);
	}

	@Override
	public CompletableFuture<ServiceReply> call(EndpointEntry endpoint, ServiceCall call) {
		if (call.timeLeft().isNegative() || call.timeLeft().isZero()) {
			return CompletableFuture.failedFuture(notSent(endpoint, ErrorCode.DEADLINE_EXCEEDED, "no time was left"));
		}
		if (!ServiceCallHttp.wellFormed(call.path())) {
			return CompletableFuture
				.failedFuture(notSent(endpoint, ErrorCode.BAD_REQUEST, "'" + call.path() + "' is not a path of a URI"));
		}
		return result(endpoint, Step.START, this.http.call(call.timeLeft(),
				() -> this.http.freshClient().requestStream(uri(endpoint, call.path()), (spec) -> {
					configure(spec, call.timeLeft().plus(READ_MARGIN));
					ServiceCallHttp.write(call, spec);
				}).flatMap(ServiceCallHttp::reply)));
	}

	private static ServingException notSent(EndpointEntry endpoint, ErrorCode code, String message) {
		return new ServingException(code, Ran.NO, Step.START, endpoint.name().value(), message);
	}

	private <T> CompletableFuture<T> control(EndpointEntry endpoint, Step step, String path,
			Action<RequestSpec> request, Reader<byte[], T> reader) {
		return send(endpoint, step, CONTROL_TIMEOUT, path, request, (response) -> {
			if (response.status() == HTTP_CONFLICT) {
				throw new ServingException(ErrorCode.CONFLICT, Ran.NO, step, endpoint.name().value(),
						"the engine has seen a newer fencing number");
			}
			if (response.status() >= HTTP_ERRORS) {
				throw EngineFailure.refused(endpoint.name(), step, response.status(), response.body());
			}
			return reader.read(response.body());
		});
	}

	private <T> CompletableFuture<T> send(EndpointEntry endpoint, Step step, Duration limit, String path,
			Action<RequestSpec> request, Reader<WholeReply, T> reader) {
		return result(endpoint, step,
				this.http.call(limit, () -> this.http.freshClient().requestStream(uri(endpoint, path), (spec) -> {
					configure(spec, limit.plus(READ_MARGIN));
					request.execute(spec);
				}).flatMap(WholeReply::of).map(reader::read)));
	}

	private <T> CompletableFuture<T> result(EndpointEntry endpoint, Step step, CompletableFuture<T> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		call.whenComplete((value, failure) -> {
			if (failure == null) {
				result.complete(value);
				return;
			}
			result.completeExceptionally(EngineFailure.of(endpoint.name(), step, Ran.UNKNOWN, failure));
		});
		return result;
	}

	private static String attemptPath(RequestId id, int attempt) {
		return "/v1/attempts/" + id + "/" + attempt;
	}

	private static URI uri(EndpointEntry endpoint, String path) {
		return URI.create("http://" + endpoint.address() + path);
	}

	/**
	 * Reads an answer.
	 *
	 * @param <S> what it comes as
	 * @param <T> what it means
	 */
	interface Reader<S, T> {

		T read(S source) throws IOException, ServingException;

	}

}
