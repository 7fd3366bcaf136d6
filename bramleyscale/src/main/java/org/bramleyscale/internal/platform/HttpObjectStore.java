package org.bramleyscale.internal.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.http.WholeReply;
import org.bramleyscale.internal.time.Scheduler;
import ratpack.func.Action;
import ratpack.http.HttpMethod;
import ratpack.http.client.RequestSpec;

/**
 * The platform's object API over HTTP.
 *
 * <p>
 * Invariant: each call completes on the scheduler's thread within the timeout, a watch
 * within its wait plus the timeout. A write or delete without a valid reply fails with
 * {@link PlatformException.Kind#UNKNOWN_OUTCOME} unless no connection was established.
 * Each call uses a connection of its own: replies name no call, so on one that was used
 * before a repeated reply, or a part of one, would be taken for the next one or for its
 * beginning. Confined to the scheduler's thread.
 */
public final class HttpObjectStore implements ObjectStore {

	private final Scheduler scheduler;

	private final HttpExecution execution;

	private final URI base;

	private final Duration timeout;

	private final MetricRegistry metrics;

	/**
	 * Creates the adapter.
	 * @param scheduler the daemon's scheduler
	 * @param execution the shared HTTP clients
	 * @param address {@code host:port} of the platform
	 * @param timeout the maximum duration of a call, without the wait of a watch
	 * @param metrics records a timer per operation and a counter per kind of failure
	 */
	public HttpObjectStore(Scheduler scheduler, HttpExecution execution, String address, Duration timeout,
			MetricRegistry metrics) {
		if (timeout.isNegative() || timeout.isZero()) {
			throw new IllegalArgumentException("platform timeout must be positive, was " + timeout);
		}
		this.scheduler = scheduler;
		this.execution = execution;
		this.base = URI.create("http://" + address + "/");
		this.timeout = timeout;
		this.metrics = metrics;
	}

	@Override
	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		return call("read", Call.reading(path(key)), (reply) -> readReply(key, reply));
	}

	@Override
	public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
		String path = PlatformPaths.OBJECTS + "/" + kind;
		return call("list", Call.reading(path),
				(reply) -> PlatformCodec.readBatch(kind, reply.requireSuccess().body()));
	}

	@Override
	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		if (value.length > MAX_VALUE_BYTES) {
			return CompletableFuture.failedFuture(new PlatformException(PlatformException.Kind.TOO_LARGE,
					key + " with " + value.length + " bytes exceeds " + MAX_VALUE_BYTES));
		}
		Call call = new Call(HttpMethod.PUT, conditional(key, expected), value, Duration.ZERO);
		return call("write", call, (reply) -> new StoredObject(key, reply.requireSuccess().version(), value));
	}

	@Override
	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		Call call = new Call(HttpMethod.DELETE, conditional(key, expected), new byte[0], Duration.ZERO);
		return call("delete", call, (reply) -> {
			reply.requireSuccess();
			return null;
		});
	}

	@Override
	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		String path = PlatformPaths.OBJECTS + "/" + kind + "?" + PlatformPaths.AFTER + "=" + after + "&"
				+ PlatformPaths.WAIT_MILLIS + "=" + wait.toMillis();
		Call call = new Call(HttpMethod.GET, path, new byte[0], wait);
		return call("watch", call, (reply) -> PlatformCodec.readBatch(kind, reply.requireSuccess().body()));
	}

	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return call("vms", Call.reading(PlatformPaths.VMS),
				(reply) -> PlatformCodec.readVms(reply.requireSuccess().body()));
	}

	private <T> CompletableFuture<T> call(String operation, Call call, Decoder<T> decoder) {
		long sentAt = this.scheduler.nanos();
		CompletableFuture<T> result = new CompletableFuture<>();
		Duration limit = this.timeout.plus(call.watchWait());
		this.execution.call(limit, () -> {
			URI uri = this.base.resolve(call.path());
			return this.execution.freshClient()
				.requestStream(uri, request(call, limit))
				.flatMap(WholeReply::of)
				.map(Reply::of);
		}).whenComplete((reply, failure) -> {
			Duration duration = Duration.ofNanos(this.scheduler.nanos() - sentAt);
			this.metrics.timer("platform." + operation).update(duration);
			complete(result, call, decoder, reply, failure);
		});
		return result;
	}

	private <T> void complete(CompletableFuture<T> result, Call call, Decoder<T> decoder, Reply reply,
			Throwable failure) {
		try {
			if (failure != null) {
				throw toException(call, failure);
			}
			result.complete(decoder.decode(reply));
		}
		catch (PlatformException ex) {
			this.metrics.counter("platform.failed." + ex.kind().name().toLowerCase(Locale.ROOT)).inc();
			result.completeExceptionally(ex);
		}
		catch (IOException | RuntimeException ex) {
			result.completeExceptionally(noValidReply(call, "malformed reply: " + ex.getMessage()));
		}
	}

	private static PlatformException toException(Call call, Throwable failure) {
		if (failure instanceof ConnectException) {
			return new PlatformException(PlatformException.Kind.UNAVAILABLE,
					call + " could not connect: " + failure.getMessage());
		}
		return noValidReply(call, failure.toString());
	}

	private static PlatformException noValidReply(Call call, String reason) {
		PlatformException.Kind kind = (call.modifies()) ? PlatformException.Kind.UNKNOWN_OUTCOME
				: PlatformException.Kind.UNAVAILABLE;
		return new PlatformException(kind, call + " got no valid reply: " + reason);
	}

	private static Action<RequestSpec> request(Call call, Duration limit) {
		return (spec) -> {
			spec.method(call.method());
			spec.readTimeout(limit);
			spec.redirects(0);
			if (call.method().isPut()) {
				spec.getBody().type("application/octet-stream").bytes(call.body());
			}
		};
	}

	private static Optional<StoredObject> readReply(ObjectKey key, Reply reply) throws PlatformException {
		if (reply.status() == Reply.NOT_FOUND) {
			return Optional.empty();
		}
		reply.requireSuccess();
		return Optional.of(new StoredObject(key, reply.version(), reply.body()));
	}

	private static String path(ObjectKey key) {
		return PlatformPaths.OBJECTS + "/" + key;
	}

	private static String conditional(ObjectKey key, long expected) {
		return path(key) + "?" + PlatformPaths.EXPECTED + "=" + expected;
	}

	/**
	 * Decodes a reply into a result.
	 *
	 * @param <T> the type of the result
	 */
	@FunctionalInterface
	private interface Decoder<T> {

		T decode(Reply reply) throws PlatformException, IOException;

	}

	/**
	 * One call to the platform.
	 *
	 * @param method the HTTP method
	 * @param path the path with the query, relative to the base address
	 * @param body the request body, empty if there is none
	 * @param watchWait the wait of a watch, zero for other calls
	 */
	private record Call(HttpMethod method, String path, byte[] body, Duration watchWait) {

		static Call reading(String path) {
			return new Call(HttpMethod.GET, path, new byte[0], Duration.ZERO);
		}

		boolean modifies() {
			return !this.method.isGet();
		}

		@Override
		public String toString() {
			return this.method.getName() + " " + this.path;
		}

	}

	/**
	 * The status, version header and body of a response.
	 */
	private record Reply(int status, String versionText, byte[] body) {

		private static final int NOT_FOUND = 404;

		private static final int CONFLICT = 409;

		private static final int TOO_LARGE = 413;

		private static final int TOO_MANY = 429;

		private static final int UNAVAILABLE = 503;

		static Reply of(WholeReply reply) {
			return new Reply(reply.status(), reply.headers().get(PlatformPaths.VERSION_HEADER), reply.body());
		}

		long version() {
			return Long.parseLong(this.versionText);
		}

		Reply requireSuccess() throws PlatformException {
			switch (this.status) {
				case 200, 204 -> {
					return this;
				}
				case CONFLICT -> throw error(PlatformException.Kind.CONFLICT);
				case TOO_LARGE -> throw error(PlatformException.Kind.TOO_LARGE);
				case TOO_MANY, UNAVAILABLE -> throw error(PlatformException.Kind.UNAVAILABLE);
				default -> throw new IllegalStateException("unexpected status " + this.status);
			}
		}

		private PlatformException error(PlatformException.Kind kind) {
			String text = new String(this.body, StandardCharsets.UTF_8);
			return new PlatformException(kind, "status " + this.status + ": " + text);
		}

	}

}
