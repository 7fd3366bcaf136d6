package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;

import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Holds requests that arrive before this daemon knows the configuration and the
 * endpoints.
 *
 * <p>
 * After all daemons have failed, callers send their requests to the first one that is
 * back. It obtains what it needs within a tenth of a second; a caller that is refused in
 * the meantime has used one of its two tries and retries half a second later: after a
 * loss of power, this happened to twelve of the first thirty requests. Invariants: each
 * accepted request is passed on once and in order, unless its caller has disconnected, at
 * the latest {@link #MAX_HOLD} after the start; later ones aren't held. Confined to the
 * scheduler's thread. <pre>
 * CallerRequestHandler requests = new StartupQueue(scheduler, node::ready, service);
 * </pre>
 */
public final class StartupQueue implements CallerRequestHandler {

	/**
	 * Copies of the store's objects arrive from peers or from the store within 0.1 to 0.5
	 * s of a start on the smallest VMs; a daemon that has none by then has no access to
	 * the store.
	 */
	static final Duration MAX_HOLD = Duration.ofMillis(500);

	/**
	 * The interval between checks; short prompts have a total latency budget of 300 ms.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

	private static final int UNAVAILABLE = 503;

	private static final Logger logger = Logger.getLogger(StartupQueue.class);

	private final Scheduler scheduler;

	private final BooleanSupplier ready;

	private final CallerRequestHandler next;

	private final Queue<HeldRequest> held = new ArrayDeque<>();

	private final long startedAt;

	private boolean open;

	/**
	 * Creates a queue that holds requests from now on.
	 * @param scheduler the daemon's scheduler
	 * @param ready whether the daemon knows the configuration and the endpoints
	 * @param next handles the requests after that
	 */
	public StartupQueue(Scheduler scheduler, BooleanSupplier ready, CallerRequestHandler next) {
		this.scheduler = scheduler;
		this.ready = ready;
		this.next = next;
		this.startedAt = scheduler.nanos();
	}

	@Override
	public HandledRequest handle(CallerRequest request, CallerReply reply) {
		if (checkOpen()) {
			return this.next.handle(request, reply);
		}
		if (this.held.isEmpty()) {
			this.scheduler.schedule(POLL_INTERVAL, this::poll);
		}
		HeldRequest heldRequest = new HeldRequest(request, reply);
		this.held.add(heldRequest);
		return heldRequest;
	}

	private boolean checkOpen() {
		boolean expired = this.scheduler.nanos() - this.startedAt >= MAX_HOLD.toNanos();
		this.open = this.open || expired || isReady();
		return this.open && this.held.isEmpty();
	}

	private void poll() {
		checkOpen();
		if (!this.open) {
			this.scheduler.schedule(POLL_INTERVAL, this::poll);
			return;
		}
		while (!this.held.isEmpty()) {
			passNext();
		}
	}

	private void passNext() {
		HeldRequest next = this.held.remove();
		try {
			next.pass();
		}
		catch (RuntimeException | Error ex) {
			// The others would stay held for good.
			logger.errorf(ex, "A held request failed");
			next.reply.abort();
		}
	}

	private boolean isReady() {
		try {
			return this.ready.getAsBoolean();
		}
		catch (RuntimeException | Error ex) {
			logger.errorf(ex, "It can't be told whether this daemon is ready");
			return false;
		}
	}

	/**
	 * A request that is or was held.
	 */
	private final class HeldRequest implements HandledRequest {

		private final CallerRequest request;

		private final CallerReply reply;

		private final long arrivedAt = StartupQueue.this.scheduler.nanos();

		private boolean ended;

		private HandledRequest handled = HandledRequest.ENDED;

		private HeldRequest(CallerRequest request, CallerReply reply) {
			this.request = request;
			this.reply = reply;
		}

		private void pass() {
			if (!this.ended) {
				this.ended = true;
				Duration waited = Duration.ofNanos(StartupQueue.this.scheduler.nanos() - this.arrivedAt);
				this.handled = StartupQueue.this.next.handle(this.request.afterWaiting(waited), this.reply);
			}
		}

		@Override
		public void callerDisconnected() {
			this.ended = true;
			this.handled.callerDisconnected();
		}

		@Override
		public void daemonStops(Duration untilExit) {
			// It is passed on soon, long before the daemon exits.
			this.handled.daemonStops(untilExit);
		}

		@Override
		public void daemonExits() {
			if (!this.ended) {
				this.ended = true;
				this.reply.sendOwnResponse(UNAVAILABLE, "daemon exits", GatewayService.LEAVING_RETRY_AFTER);
			}
			this.handled.daemonExits();
		}

	}

}
