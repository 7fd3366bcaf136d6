package org.bramleyscale.standins.engine;

import java.net.InetAddress;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.http.EventStream;
import org.bramleyscale.internal.time.Scheduler;
import org.bramleyscale.standins.http.Replies;
import org.bramleyscale.standins.http.StandInServer;
import ratpack.exec.Blocking;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * An {@link EngineState} behind the engines' wire API.
 *
 * <p>
 * {@code POST /admin/faults} takes {@code {"fault": NAME, "on": true or false}};
 * {@code GET /admin/state} tells what the engine did. {@link #kill()} cuts all
 * connections at once, as a crash does; {@link #start()} after it starts with empty
 * memory. Safe for use by multiple threads, except that start and kill exclude each
 * other.
 */
public final class EngineServer implements AutoCloseable {

	private static final int LARGEST_BODY = 64 << 20;

	private static final int LARGEST_ON_HTTP_THREAD = 128 << 10;

	private static final long STREAM_BUFFER = 8 << 20;

	private static final byte[] EMPTY = EngineWire.json(Map.of());

	private final EndpointId name;

	private final EngineParameters parameters;

	private final Scheduler scheduler;

	private final StandInServer server;

	private volatile EngineState state;

	/**
	 * Creates an engine that doesn't listen yet.
	 * @param name its name
	 * @param address where to listen
	 * @param port the port; 0 means any free one, kept over restarts
	 * @param parameters how it behaves
	 * @param scheduler the thread of its state, which engines may share
	 */
	public EngineServer(EndpointId name, InetAddress address, int port, EngineParameters parameters,
			Scheduler scheduler) {
		this.name = name;
		this.parameters = parameters;
		this.scheduler = scheduler;
		this.server = new StandInServer(address, port, LARGEST_BODY, this::routes);
	}

	/**
	 * Starts the engine with empty memory.
	 * @throws Exception if the address can't be used
	 */
	public void start() throws Exception {
		this.state = new EngineState(this.name, this.parameters, this.scheduler,
				this.scheduler.wallTime().toEpochMilli());
		this.server.start();
	}

	/**
	 * Cuts all connections and forgets everything.
	 * @throws Exception if that fails
	 */
	public void kill() throws Exception {
		EngineState old = this.state;
		this.server.kill();
		this.scheduler.execute(old::stop);
	}

	@Override
	public void close() throws Exception {
		kill();
	}

	public int port() {
		return this.server.port();
	}

	/**
	 * The core, for use on the scheduler's thread.
	 * @return the state of the current start
	 */
	public EngineState state() {
		return this.state;
	}

	private void routes(Chain chain) throws Exception {
		chain.post("v1/generate", this::generate)
			.get("v1/attempts/:id/:attempt/stream", this::resume)
			.delete("v1/attempts/:id/:attempt", this::cancel)
			.get("v1/report", (context) -> answer(context, () -> EngineWire.report(this.state.report())))
			.get("v1/cache-events", this::cacheEvents)
			.post("v1/orders", this::order)
			.get("v1/holds", (context) -> answer(context, () -> EngineWire.holds(this.state.holds())))
			.path("v1/holds/:hold",
					(context) -> context
						.byMethod((methods) -> methods.put(() -> hold(context)).delete(() -> release(context))))
			.post("admin/faults", this::fault)
			.get("admin/state", this::describe);
	}

	private void generate(Context context) {
		EventStream stream = stream(context);
		context.getRequest().getBody().then((body) -> {
			Promise<Generation> reading = (body.getBuffer().readableBytes() <= LARGEST_ON_HTTP_THREAD)
					? Promise.sync(() -> EngineWire.generation(body.getInputStream()))
					: Blocking.get(() -> EngineWire.generation(body.getInputStream()));
			reading.then((generation) -> onScheduler(context, (reply) -> start(generation, stream, reply)));
		});
	}

	private void start(Generation generation, EventStream stream, Consumer<Action<Context>> reply) {
		if (this.state.has(Fault.DROP_STARTS)) {
			this.state.generate(generation, new SilentListener());
			stream.abort();
			return;
		}
		this.state.generate(generation, new AttemptStream(stream, generation.key(), reply));
	}

	private void resume(Context context) {
		AttemptKey key = key(context);
		long offset = Long.parseLong(context.getRequest().getQueryParams().getOrDefault("offset", "0"));
		EventStream stream = stream(context);
		onScheduler(context, (reply) -> this.state.resume(key, offset, new AttemptStream(stream, key, reply)));
	}

	private void cancel(Context context) {
		AttemptKey key = key(context);
		onScheduler(context, (reply) -> {
			if (!this.state.has(Fault.DROP_CANCELS)) {
				reply.accept(Replies.json(EngineWire.json(Map.of("result", this.state.cancel(key).name()))));
			}
		});
	}

	private void cacheEvents(Context context) {
		long after = Long.parseLong(context.getRequest().getQueryParams().getOrDefault("after", "0"));
		answer(context, () -> EngineWire.json(Map.of("events", this.state.cacheEvents(after))));
	}

	private void order(Context context) {
		context.getRequest().getBody().then((body) -> {
			EngineOrder order = EngineWire.order(body.getInputStream());
			onScheduler(context, (reply) -> reply.accept(ordered(order)));
		});
	}

	private Action<Context> ordered(EngineOrder order) {
		if (this.state.order(order)) {
			return Replies.json(EMPTY);
		}
		return Replies.json(ErrorCode.CONFLICT.httpStatus(),
				EngineWire.error(ErrorCode.CONFLICT, Ran.NO, "a newer fencing number was seen"));
	}

	private void hold(Context context) {
		String hold = context.getPathTokens().get("hold");
		context.getRequest().getBody().then((body) -> {
			EngineHold wanted = EngineWire.hold(hold, body.getInputStream());
			answer(context, () -> EngineWire.json(Map.of("held", this.state.hold(wanted))));
		});
	}

	private void release(Context context) {
		String hold = context.getPathTokens().get("hold");
		answer(context, () -> {
			this.state.release(hold);
			return EMPTY;
		});
	}

	private void fault(Context context) {
		context.getRequest().getBody().then((body) -> {
			JsonNode json = EngineWire.tree(body.getInputStream());
			Fault fault = Fault.valueOf(json.path("fault").asText());
			boolean on = json.path("on").asBoolean(true);
			Replies.json(context, this.scheduler, () -> {
				this.state.fault(fault, on);
				return EngineWire.json(Map.of(fault.name(), on));
			});
		});
	}

	private void describe(Context context) {
		Replies.json(context, this.scheduler, () -> EngineWire.json(Map.of("counts", this.state.counts().snapshot(),
				"kvUsed", this.state.kvUsed(), "role", this.state.role())));
	}

	private EventStream stream(Context context) {
		return new EventStream(context.getDirectChannelAccess().getChannel(), STREAM_BUFFER);
	}

	private static AttemptKey key(Context context) {
		Map<String, String> tokens = context.getPathTokens();
		return new AttemptKey(tokens.get("id"), Integer.parseInt(tokens.get("attempt")));
	}

	private void answer(Context context, Supplier<byte[]> body) {
		onScheduler(context, (reply) -> reply.accept(Replies.json(body.get())));
	}

	private void onScheduler(Context context, Consumer<Consumer<Action<Context>>> work) {
		Replies.later(context, this.scheduler, (reply) -> {
			if (!this.state.has(Fault.FREEZE)) {
				work.accept(reply);
			}
		});
	}

}
