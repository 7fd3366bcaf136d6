package org.bramleyscale.standins.platform;

import java.net.InetAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformCodec;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.PlatformPaths;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.EventLoop;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * The platform stand-in as an HTTP server on the loopback address.
 *
 * <p>
 * A call whose reply is lost by an injected fault never gets a response. Safe for use by
 * multiple threads.
 */
public final class PlatformServer implements AutoCloseable {

	private static final int LARGEST_BODY = 2 * 1024 * 1024;

	private static final String KIND = "kind";

	private static final String NAME = "name";

	private static final String JSON = "application/json";

	private final EventLoop loop;

	private final PlatformService service;

	private final RatpackServer server;

	/**
	 * Starts the server.
	 * @param port the port, or 0 for any
	 * @param limits the platform's limits
	 * @throws Exception if the port cannot be bound
	 */
	public PlatformServer(int port, PlatformLimits limits) throws Exception {
		this.loop = new EventLoop("platform");
		this.service = new PlatformService(this.loop, limits);
		this.server = RatpackServer.start(
				(spec) -> spec
					.serverConfig((config) -> config.address(InetAddress.getLoopbackAddress())
						.port(port)
						.threads(2)
						.maxContentLength(LARGEST_BODY)
						.registerShutdownHook(false)
						.development(false))
					.handlers(this::routes));
	}

	/**
	 * Returns the address that daemons connect to.
	 * @return {@code host:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getBindPort();
	}

	/**
	 * Changes faults or VMs from within the process.
	 * @param change runs on the platform's thread
	 * @return completes once the change has been made
	 */
	public CompletableFuture<Void> change(Consumer<PlatformService> change) {
		return CompletableFuture.runAsync(() -> change.accept(this.service), this.loop::execute);
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
		this.loop.close();
	}

	private void routes(Chain chain) throws Exception {
		chain.path(PlatformPaths.OBJECTS + "/:" + KIND + "/:" + NAME, this::object);
		chain.get(PlatformPaths.OBJECTS + "/:" + KIND, this::listOrWatch);
		chain.path(PlatformPaths.VMS, this::vms);
		chain.delete(PlatformPaths.VMS + "/:" + NAME, this::removeVm);
		chain.prefix("admin", (admin) -> new PlatformAdmin(this.service).routes(admin));
	}

	private void object(Context context) throws Exception {
		context
			.byMethod((spec) -> spec.get(() -> read(context)).put(() -> write(context)).delete(() -> delete(context)));
	}

	private void read(Context context) {
		ObjectKey key = key(context);
		respond(context, () -> this.service.read(key), (found) -> {
			if (found.isPresent()) {
				sendObject(context, found.get());
			}
			else {
				context.getResponse().status(404).send();
			}
		});
	}

	private void write(Context context) {
		ObjectKey key = key(context);
		long expected = longParameter(context, PlatformPaths.EXPECTED);
		context.getRequest().getBody().then((body) -> {
			byte[] value = body.getBytes();
			respond(context, () -> this.service.write(key, value, expected), (stored) -> {
				setVersionHeader(context, stored);
				context.getResponse().send();
			});
		});
	}

	private void delete(Context context) {
		ObjectKey key = key(context);
		long expected = longParameter(context, PlatformPaths.EXPECTED);
		respond(context, () -> this.service.delete(key, expected).thenApply((nothing) -> Boolean.TRUE),
				(done) -> context.getResponse().status(204).send());
	}

	private void listOrWatch(Context context) {
		String kind = context.getPathTokens().get(KIND);
		if (context.getRequest().getQueryParams().containsKey(PlatformPaths.AFTER)) {
			long after = longParameter(context, PlatformPaths.AFTER);
			Duration wait = Duration.ofMillis(longParameter(context, PlatformPaths.WAIT_MILLIS));
			respond(context, () -> this.service.watch(kind, after, wait),
					(batch) -> context.getResponse().send(JSON, PlatformCodec.writeBatch(batch)));
		}
		else {
			respond(context, () -> this.service.list(kind),
					(batch) -> context.getResponse().send(JSON, PlatformCodec.writeBatch(batch)));
		}
	}

	private void vms(Context context) throws Exception {
		context.byMethod((spec) -> spec.get(() -> readVms(context)).post(() -> putVm(context)));
	}

	private void readVms(Context context) {
		respond(context, this.service::vms, (list) -> context.getResponse().send(JSON, PlatformCodec.writeVms(list)));
	}

	private void putVm(Context context) {
		context.getRequest().getBody().then((body) -> {
			var vm = PlatformCodec.readVm(body.getBytes());
			this.loop.execute(() -> this.service.state().putVm(vm));
			context.getResponse().status(204).send();
		});
	}

	private void removeVm(Context context) {
		VmId vm = new VmId(context.getPathTokens().get(NAME));
		this.loop.execute(() -> this.service.state().removeVm(vm));
		context.getResponse().status(204).send();
	}

	private <T> void respond(Context context, Supplier<CompletableFuture<T>> call, Consumer<T> send) {
		Promise.<T>async((downstream) -> this.loop.execute(() -> forward(call.get(), downstream)))
			.onError(PlatformException.class, (ex) -> sendError(context, ex))
			.then(send::accept);
	}

	private static <T> void forward(CompletableFuture<T> reply, Downstream<? super T> downstream) {
		reply.whenComplete((value, failure) -> {
			if (failure == null) {
				downstream.success(value);
			}
			else {
				downstream.error((failure.getCause() != null) ? failure.getCause() : failure);
			}
		});
	}

	private static void sendError(Context context, PlatformException failure) {
		int status = switch (failure.kind()) {
			case CONFLICT -> 409;
			case TOO_LARGE -> 413;
			default -> 503;
		};
		context.getResponse().status(status).send(failure.getMessage());
	}

	private static void sendObject(Context context, StoredObject object) {
		setVersionHeader(context, object);
		context.getResponse().send("application/octet-stream", object.value());
	}

	private static void setVersionHeader(Context context, StoredObject object) {
		context.getResponse().getHeaders().set(PlatformPaths.VERSION_HEADER, object.version());
	}

	private static ObjectKey key(Context context) {
		return new ObjectKey(context.getPathTokens().get(KIND), context.getPathTokens().get(NAME));
	}

	private static long longParameter(Context context, String parameter) {
		return Long.parseLong(context.getRequest().getQueryParams().get(parameter));
	}

}
