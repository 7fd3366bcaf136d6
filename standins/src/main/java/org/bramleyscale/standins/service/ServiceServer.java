package org.bramleyscale.standins.service;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.time.Scheduler;
import org.bramleyscale.standins.engine.EngineWire;
import org.bramleyscale.standins.http.Replies;
import org.bramleyscale.standins.http.StandInServer;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * A {@link ServiceState} behind HTTP.
 *
 * <p>
 * {@code POST /bookings} books the body's text, {@code GET /bookings} and
 * {@code GET /bookings/N} read, {@code GET /executions} counts the bookings of each
 * request id, {@code GET /v1/report} reports load, {@code POST /admin/faults} takes
 * {@code {"fault": NAME, "on": true or false}}. Bookings outlive {@link #kill()}, as in a
 * service that keeps them in a store. Safe for use by multiple threads, except that start
 * and kill exclude each other.
 */
public final class ServiceServer implements AutoCloseable {

	private static final int LARGEST_BODY = 32 << 20;

	private static final int HTTP_CREATED = 201;

	private static final int HTTP_NOT_FOUND = 404;

	private static final int HTTP_UNAVAILABLE = 503;

	private final Scheduler scheduler;

	private final StandInServer server;

	private final ServiceState state;

	/**
	 * Creates an instance that doesn't listen yet.
	 * @param name its name
	 * @param address where to listen
	 * @param port the port; 0 means any free one, kept over restarts
	 * @param delay how long a call takes
	 * @param slots how many calls it reports to take at once
	 * @param scheduler the thread of its state, which instances may share
	 */
	public ServiceServer(EndpointId name, InetAddress address, int port, Duration delay, int slots,
			Scheduler scheduler) {
		this.scheduler = scheduler;
		this.state = new ServiceState(name, delay, slots, scheduler, scheduler.wallTime().toEpochMilli());
		this.server = new StandInServer(address, port, LARGEST_BODY, this::routes);
	}

	public void start() throws Exception {
		this.server.start();
	}

	/**
	 * Stops listening and cuts all connections.
	 * @throws Exception if that fails
	 */
	public void kill() throws Exception {
		this.server.kill();
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
	 * @return the state
	 */
	public ServiceState state() {
		return this.state;
	}

	private void routes(Chain chain) throws Exception {
		chain
			.path("bookings",
					(context) -> context
						.byMethod((methods) -> methods.post(() -> book(context)).get(() -> list(context))))
			.get("bookings/:number", this::read)
			.get("executions", this::executions)
			.get("v1/report",
					(context) -> onScheduler(context,
							(reply) -> reply.accept(Replies.json(EngineWire.report(this.state.report())))))
			.post("admin/faults", this::fault);
	}

	private void book(Context context) {
		String requestId = String.valueOf(context.getRequest().getHeaders().get("Request-Id"));
		Channel channel = context.getDirectChannelAccess().getChannel();
		context.getRequest().getBody().then((body) -> {
			String text = body.getText(StandardCharsets.UTF_8);
			onScheduler(context,
					(reply) -> this.state.book(requestId, text, (booking) -> answer(booking, channel, reply)));
		});
	}

	private void answer(Booking booking, Channel channel, Consumer<Action<Context>> reply) {
		if (this.state.has(ServiceFault.DIE_AFTER_EFFECT) || this.state.has(ServiceFault.DIE_BEFORE_EFFECT)) {
			channel.close();
		}
		else if (booking == null) {
			reply.accept(Replies.json(HTTP_UNAVAILABLE, EngineWire.json(Map.of("refused", true))));
		}
		else {
			reply.accept(Replies.json(HTTP_CREATED, EngineWire.json(booking)));
		}
	}

	private void list(Context context) {
		onScheduler(context, (reply) -> this.state
			.later(() -> reply.accept(Replies.json(EngineWire.json(Map.of("bookings", this.state.bookings()))))));
	}

	private void read(Context context) {
		int number = Integer.parseInt(context.getPathTokens().get("number"));
		onScheduler(context,
				(reply) -> this.state.later(() -> reply.accept(this.state.bookings()
					.stream()
					.filter((booking) -> booking.number() == number)
					.findFirst()
					.map((booking) -> Replies.json(EngineWire.json(booking)))
					.orElseGet(() -> Replies.json(HTTP_NOT_FOUND, EngineWire.json(Map.of("unknown", number)))))));
	}

	private void executions(Context context) {
		Replies.json(context, this.scheduler, () -> EngineWire.json(Map.of("executions", this.state.executions(),
				"startedWhileLeaving", this.state.startedWhileLeaving())));
	}

	private void fault(Context context) {
		context.getRequest().getBody().then((body) -> {
			JsonNode json = EngineWire.tree(body.getInputStream());
			ServiceFault fault = ServiceFault.valueOf(json.path("fault").asText());
			boolean on = json.path("on").asBoolean(true);
			Replies.json(context, this.scheduler, () -> {
				this.state.fault(fault, on);
				return EngineWire.json(Map.of(fault.name(), on));
			});
		});
	}

	private void onScheduler(Context context, Consumer<Consumer<Action<Context>>> work) {
		Replies.later(context, this.scheduler, (reply) -> {
			if (!this.state.has(ServiceFault.FREEZE)) {
				work.accept(reply);
			}
		});
	}

}
