package org.bramleyscale.internal.http;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Set;
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
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

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
 * connection was made or the engine said so. Calls to plain services that are neither GET
 * nor HEAD use a new connection each: on a kept one that the other side had closed
 * unnoticed, the call would end as {@link Ran#UNKNOWN} although it never arrived, and a
 * not repeatable call can't be tried again then. Generations use kept connections, as an
 * unknown start can be settled by {@link #cancel}. Confined to the scheduler's thread.
 */
public final class HttpEngineClient implements EngineClient, AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration READ_MARGIN = Duration.ofSeconds(1);

	/** The request's own deadline is kept by the caller of resume. */
	private static final Duration RESUME_READ_TIMEOUT = Duration.ofHours(24);

	private static final int LARGEST_REPLY = 32 << 20;

	private static final int STREAM_POOL = 4096;

	private static final int HTTP_CONFLICT = 409;

	private static final int HTTP_ERRORS = 400;

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

	private final Scheduler scheduler;

	private final HttpExecution http;

	private final HttpClient streams;

	private final Mailbox mailbox;

	private final SuspectConnections suspects;

	/**
	 * Creates a client.
	 * @param scheduler the daemon's scheduler
	 * @param http the daemon's HTTP clients; not closed by this class
	 */
	public HttpEngineClient(Scheduler scheduler, HttpExecution http) {
		this.scheduler = scheduler;
		this.http = http;
		this.mailbox = new Mailbox(scheduler);
		this.suspects = new SuspectConnections(scheduler, http.poolIdleTimeout());
		// A stream holds its connection until its end. In one pool with the short calls,
		// cancels and reports would wait behind the streams of a busy engine.
		this.streams = streamClient(http);
	}

	private static HttpClient streamClient(HttpExecution http) {
		try {
			return HttpClient.of((spec) -> spec.execController(http.controller())
				.poolSize(STREAM_POOL)
				.idleTimeout(http.poolIdleTimeout())
				.connectTimeout(CONNECT_TIMEOUT));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the HTTP client for streams can't be configured", ex);
		}
	}

	@Override
	public void close() {
		this.streams.close();
	}

	@Override
	public Cancellable generate(EndpointEntry endpoint, EngineRequest request, EngineListener listener) {
		EngineStream stream = stream(endpoint, request.id(), Step.START, listener);
		if (request.timeLeft().isNegative() || request.timeLeft().isZero()) {
			stream.refuse(new ServingException(ErrorCode.DEADLINE_EXCEEDED, Ran.NO, Step.START, endpoint.name().value(),
					"no time was left to start"));
			return stream;
		}
		stream.timer(this.scheduler.schedule(request.timeLeft(), () -> stream.timedOut(request.timeLeft())));
		HttpClient client = trusted(endpoint) ? this.streams : this.http.freshClient();
		open(client, stream, uri(endpoint, "/v1/generate"), (spec) -> {
			spec.post().readTimeout(request.timeLeft().plus(READ_MARGIN));
			spec.body((body) -> body.type(ErrorBody.JSON).bytes(EngineJson.request(request)));
		});
		return stream;
	}

	@Override
	public Cancellable resume(EndpointEntry endpoint, RequestId id, int attempt, long offset, EngineListener listener) {
		this.suspects.failed(endpoint.address());
		EngineStream stream = stream(endpoint, id, Step.RESUME, listener);
		URI uri = uri(endpoint, attemptPath(id, attempt) + "/stream?offset=" + offset);
		open(this.http.freshClient(), stream, uri, (spec) -> spec.get().readTimeout(RESUME_READ_TIMEOUT));
		return stream;
	}

	private EngineStream stream(EndpointEntry endpoint, RequestId id, Step step, EngineListener listener) {
		return new EngineStream(endpoint, id, step, listener, this.mailbox,
				() -> this.suspects.failed(endpoint.address()));
	}

	private void open(HttpClient client, EngineStream stream, URI uri, Action<RequestSpec> request) {
		this.http.controller().fork().onError(stream::broken).start((execution) -> client.requestStream(uri, (spec) -> {
			spec.redirects(0).decompressResponse(false).connectTimeout(CONNECT_TIMEOUT);
			request.execute(spec);
		}).then(stream::received));
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
		boolean pooled = SAFE_METHODS.contains(call.method()) && trusted(endpoint);
		return send(endpoint, Step.START, call.timeLeft(), pooled, call.path(), (spec) -> {
			spec.method(call.method()).maxContentLength(LARGEST_REPLY);
			call.headers().forEach(spec.getHeaders()::set);
			spec.getHeaders().set(CallOptions.REQUEST_ID, call.id().toString());
			spec.getHeaders().set(CallOptions.TIMEOUT, call.timeLeft().toMillis());
			if (call.body().length > 0) {
				spec.getBody().bytes(call.body());
			}
		}, (response) -> new ServiceReply(response.getStatusCode(), PassedHeaders.of(response.getHeaders()),
				response.getBody().getBytes()));
	}

	private <T> CompletableFuture<T> control(EndpointEntry endpoint, Step step, String path,
			Action<RequestSpec> request, Reader<byte[], T> reader) {
		return send(endpoint, step, CONTROL_TIMEOUT, trusted(endpoint), path, request, (response) -> {
			byte[] body = response.getBody().getBytes();
			if (response.getStatusCode() == HTTP_CONFLICT) {
				throw new ServingException(ErrorCode.CONFLICT, Ran.NO, step, endpoint.name().value(),
						"the engine has seen a newer fencing number");
			}
			if (response.getStatusCode() >= HTTP_ERRORS) {
				throw EngineFailure.refused(endpoint.name(), step, response.getStatusCode(), body);
			}
			return reader.read(body);
		});
	}

	private <T> CompletableFuture<T> send(EndpointEntry endpoint, Step step, Duration limit, boolean pooled,
			String path, Action<RequestSpec> request, Reader<ReceivedResponse, T> reader) {
		HttpClient client = pooled ? this.http.client() : this.http.freshClient();
		CompletableFuture<T> result = new CompletableFuture<>();
		this.http.call(limit, () -> client.request(uri(endpoint, path), (spec) -> {
			spec.redirects(0)
				.decompressResponse(false)
				.connectTimeout(CONNECT_TIMEOUT)
				.readTimeout(limit.plus(READ_MARGIN));
			request.execute(spec);
		}).map(reader::read)).whenComplete((value, failure) -> {
			if (failure == null) {
				result.complete(value);
				return;
			}
			if (!(failure instanceof ServingException)) {
				this.suspects.failed(endpoint.address());
			}
			result.completeExceptionally(EngineFailure.of(endpoint.name(), step, Ran.UNKNOWN, failure));
		});
		return result;
	}

	private boolean trusted(EndpointEntry endpoint) {
		return !this.suspects.suspect(endpoint.address());
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
