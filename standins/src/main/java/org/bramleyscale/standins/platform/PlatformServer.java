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
 * A call whose reply is to be lost gets no response at all. Safe for use by multiple
 * threads.
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
	 * @throws Exception if the port can't be bound
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
	 * The address that daemons call.
	 * @return {@code host:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getBindPort();
	}

	/**
	 * Changes faults or VMs from within the process.
	 * @param change runs on the platform's thread
	 * @return completes once the change is made
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
		chain.get(PlatformPaths.OBJECTS + "/:" + KIND, this::kind);
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
		answer(context, () -> this.service.read(key), (found) -> {
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
		long expected = number(context, PlatformPaths.EXPECTED);
		context.getRequest().getBody().then((body) -> {
			byte[] value = body.getBytes();
			answer(context, () -> this.service.write(key, value, expected), (stored) -> {
				version(context, stored);
				context.getResponse().send();
			});
		});
	}

	private void delete(Context context) {
		ObjectKey key = key(context);
		long expected = number(context, PlatformPaths.EXPECTED);
		answer(context, () -> this.service.delete(key, expected).thenApply((nothing) -> Boolean.TRUE),
				(done) -> context.getResponse().status(204).send());
	}

	private void kind(Context context) {
		String kind = context.getPathTokens().get(KIND);
		if (context.getRequest().getQueryParams().containsKey(PlatformPaths.AFTER)) {
			long after = number(context, PlatformPaths.AFTER);
			Duration wait = Duration.ofMillis(number(context, PlatformPaths.WAIT_MILLIS));
			answer(context, () -> this.service.watch(kind, after, wait),
					(batch) -> context.getResponse().send(JSON, PlatformCodec.writeBatch(batch)));
		}
		else {
			answer(context, () -> this.service.list(kind),
					(batch) -> context.getResponse().send(JSON, PlatformCodec.writeBatch(batch)));
		}
	}

	private void vms(Context context) throws Exception {
		context.byMethod((spec) -> spec.get(() -> readVms(context)).post(() -> putVm(context)));
	}

	private void readVms(Context context) {
		answer(context, this.service::vms, (list) -> context.getResponse().send(JSON, PlatformCodec.writeVms(list)));
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

	private <T> void answer(Context context, Supplier<CompletableFuture<T>> call, Consumer<T> send) {
		Promise.<T>async((downstream) -> this.loop.execute(() -> forward(call.get(), downstream)))
			.onError(PlatformException.class, (ex) -> refuse(context, ex))
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

	private static void refuse(Context context, PlatformException failure) {
		int status = switch (failure.kind()) {
			case CONFLICT -> 409;
			case TOO_LARGE -> 413;
			default -> 503;
		};
		context.getResponse().status(status).send(failure.getMessage());
	}

	private static void sendObject(Context context, StoredObject object) {
		version(context, object);
		context.getResponse().send("application/octet-stream", object.value());
	}

	private static void version(Context context, StoredObject object) {
		context.getResponse().getHeaders().set(PlatformPaths.VERSION_HEADER, object.version());
	}

	private static ObjectKey key(Context context) {
		return new ObjectKey(context.getPathTokens().get(KIND), context.getPathTokens().get(NAME));
	}

	private static long number(Context context, String parameter) {
		return Long.parseLong(context.getRequest().getQueryParams().get(parameter));
	}

}
