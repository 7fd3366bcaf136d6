package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.eligibility.Reservation;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.placement.PlacedWork;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Cancellable;

/**
 * One attempt to run a relayed request on one endpoint.
 *
 * <p>
 * Invariant: after {@link #cancel} it makes no further calls to its request, and its work
 * is removed from the load tracker. Confined to the scheduler's thread.
 */
final class Attempt implements BackendListener {

	/** What a piece of a held body counts at least: each costs time to read. */
	private static final int MIN_PIECE_BYTES = 64;

	/**
	 * An endpoint with at least this much prompt left to prefill, ms, counts as busy and
	 * not as failed. Moving a long prompt to another endpoint makes engines that are as
	 * busy prefill it a second time.
	 */
	private static final double BUSY_PREFILL_MILLIS = 200;

	/**
	 * How often the timeout of a busy endpoint is extended. It is bounded because the
	 * endpoint may have lost the request.
	 */
	private static final int MAX_EXTENSIONS = 2;

	private final RelayedRequest request;

	private final Backend target;

	private final Placement placement;

	private final GatewayPorts ports;

	private final EventSplitter splitter = new EventSplitter();

	private final HeldBody body = new HeldBody();

	private final HeldBytes.Holder held;

	private long heldCost;

	private BackendClient.BackendExchange exchange;

	private PlacedWork work;

	private MemoryHolds.Group holdGroup;

	private Reservation reservation = Reservation.SENT;

	private BackendHead head;

	private boolean closed;

	private boolean dispatched;

	private boolean endedByClose;

	private long sentAt;

	private int extensions;

	private Cancellable silenceTimer = () -> {
	};

	Attempt(RelayedRequest request, Backend target, Placement placement, GatewayPorts ports) {
		this.request = request;
		this.target = target;
		this.placement = placement;
		this.ports = ports;
		this.held = ports.heldBytes().open(this::evicted);
	}

	/**
	 * Sends the request, once the memory that it needs on helper engines is held.
	 * @param outgoing creates the request to send, given its helpers
	 */
	void send(Function<List<Helper>, OutgoingRequest> outgoing) {
		this.work = PlacedWork.begin(this.ports.loads(), this.placement, this.request.route(),
				this.request.promptTokens() + this.request.outputTokens());
		List<EndpointStart> helpers = this.placement.helpers().stream().map(Backend::start).toList();
		if (this.placement.holds().isEmpty()) {
			this.ports.rules().sent(this.target.start());
			helpers.forEach(this.ports.rules()::helpRequested);
			dispatch(outgoing.apply(helpers(null)));
			return;
		}
		this.reservation = this.ports.rules().reserve(this.target.start(), helpers);
		this.holdGroup = this.ports.holds().reserve(this.placement.holds(), this.request.id(), (held) -> {
			if (this.closed) {
				return;
			}
			if (!held) {
				close();
				this.request.notSent("memory", "no memory free for engine " + this.target.id());
			}
			else if (!this.ports.notices().acceptsRequests(this.target)
					|| this.ports.rules().blocks(this.target, this.request.scope())) {
				close();
				this.request.notSent("closed", "engine " + this.target.id() + " accepts no requests any more");
			}
			else if (this.placement.helpers().stream().anyMatch(this.ports.rules()::withdrawn)) {
				close();
				this.request.notSent("closed", "a helper of engine " + this.target.id() + " may not be used any more");
			}
			else if (!this.request.gate().stillPasses()) {
				close();
				this.request.notSent("suspected", "endpoints may crash under this request");
			}
			else if (!this.reservation.use()) {
				close();
				this.request.notSent("limit", "limit of engine " + this.target.id() + " or of a helper reached");
			}
			else {
				dispatch(outgoing.apply(helpers(this.holdGroup.id())));
			}
		});
	}

	private void dispatch(OutgoingRequest outgoing) {
		this.dispatched = true;
		this.request.attemptSent();
		this.sentAt = this.ports.scheduler().nanos();
		this.exchange = this.ports.client().send(this.target, outgoing, this);
		restartSilenceTimer(SilenceTimeouts.ofFirstEvent(this.request.route(), this.placement.firstEventMillis(),
				this.request.timeLeft()));
	}

	private List<Helper> helpers(String hold) {
		return this.placement.helpers()
			.stream()
			.map((engine) -> new Helper(engine, Optional.ofNullable((this.placement.heldAt(engine) > 0) ? hold : null)))
			.toList();
	}

	Backend target() {
		return this.target;
	}

	/**
	 * Returns the engine that caused the target's refusal.
	 * @param head the head of the target's response
	 * @return the helper whose address the response names, or else the target
	 */
	EndpointStart endpointAtFault(BackendHead head) {
		return this.placement.helpers()
			.stream()
			.filter((helper) -> head.atFault().filter(helper.address().toString()::equals).isPresent())
			.findFirst()
			.orElse(this.target)
			.start();
	}

	/**
	 * How the end of the response was recognised.
	 * @return "close" if only by the end of its connection, otherwise "framing"
	 */
	String endedBy() {
		return this.endedByClose ? "close" : "framing";
	}

	boolean endedByFraming() {
		return !this.endedByClose;
	}

	double predictedMillis() {
		return this.placement.firstEventMillis();
	}

	/**
	 * Whether the endpoint may be working on the request.
	 * @return true from dispatch until a response or failure shows otherwise
	 */
	boolean mayBeRunning() {
		return !this.closed && this.dispatched;
	}

	/**
	 * Returns what was read for this attempt.
	 * @return the trace, also after the attempt has ended
	 */
	ExchangeTrace trace() {
		return (this.exchange != null) ? this.exchange.trace() : ExchangeTrace.NOT_SENT;
	}

	void setReading(boolean on) {
		if (!this.closed && this.exchange != null) {
			this.exchange.setReading(on);
			if (on) {
				restartSilenceTimer(SilenceTimeouts.betweenEvents(this.request.route()));
			}
			else {
				this.silenceTimer.cancel();
			}
		}
	}

	void cancel() {
		if (!this.closed) {
			close();
			if (this.exchange != null) {
				this.exchange.cancel();
			}
		}
	}

	@Override
	public void head(BackendHead head) {
		if (!this.closed) {
			this.head = head;
			this.request.attemptArrived();
			this.request.noticeReceived(this.target, head.notice());
			this.ports.paths().answered(this.target);
			if (head.genuine() && !head.notRun()) {
				// A refusal may come from a later endpoint at the target's address, so it
				// doesn't count as a response of the target.
				this.request.gate().answered(this.target.start(), this.sentAt);
				this.ports.limits().answered(this.target.start(), head.notice().perSecond(), this.sentAt);
			}
			if (head.notRun() || (head.success() && !head.genuine())) {
				// Its body isn't needed, and may have no end.
				close();
				this.exchange.skipRest();
				this.request.responseReceived(this, head, new byte[0]);
			}
		}
	}

	@Override
	public void data(byte[] data) {
		if (this.closed) {
			return;
		}
		if (!isStreamed()) {
			this.body.add(data);
			this.heldCost += Math.max(MIN_PIECE_BYTES, data.length);
			this.held.hold(this.heldCost);
			return;
		}
		List<EventSplitter.Event> events = this.splitter.append(data);
		if (!this.held.hold(this.splitter.pendingBytes())) {
			return;
		}
		if (!events.isEmpty()) {
			this.work.prefillDone();
			restartSilenceTimer(SilenceTimeouts.betweenEvents(this.request.route()));
		}
		for (EventSplitter.Event event : events) {
			if (!this.closed) {
				this.request.eventReceived(this, this.head, event);
			}
		}
	}

	@Override
	public void complete() {
		if (this.closed) {
			return;
		}
		close();
		if (isStreamed()) {
			this.request.streamCompleted(this, this.head, this.splitter.remainder());
		}
		else {
			byte[] whole = this.body.toByteArray();
			this.body.clear();
			this.request.responseReceived(this, this.head, whole);
		}
	}

	@Override
	public void closed() {
		this.endedByClose = true;
		if (!this.closed && isStreamed()) {
			if (this.splitter.insideEvent()) {
				failed(true, "stream ended inside an event");
				return;
			}
			if (!this.request.hasEvents()) {
				failed(true, "stream ended before its first event");
				return;
			}
		}
		complete();
	}

	@Override
	public void failed(boolean sent, String cause) {
		if (!this.closed) {
			close();
			this.request.attemptFailed(this, sent, cause);
		}
	}

	/**
	 * Whether the response is relayed event by event. Any other is held to its end.
	 * @return true if it is relayed event by event
	 */
	private boolean isStreamed() {
		return this.head != null && this.head.events() && this.head.success() && this.head.genuine();
	}

	/**
	 * Called when the daemon can't hold the response: it is larger than all others, and
	 * together they are too large.
	 */
	private void evicted() {
		this.body.clear();
		close();
		this.exchange.cancel();
		this.request.attemptFailed(this, true, "more of the response than can be held");
	}

	private void restartSilenceTimer(Duration limit) {
		this.extensions = 0;
		scheduleSilenceTimer(limit);
	}

	private void scheduleSilenceTimer(Duration limit) {
		this.silenceTimer.cancel();
		if (!this.closed && this.request.route().repeatable()) {
			this.silenceTimer = this.ports.scheduler().schedule(limit, () -> {
				if (!this.closed) {
					silenceTimedOut(limit);
				}
			});
		}
	}

	/**
	 * Treats the target as failed, or extends the timeout if the target is only busy.
	 * There is no extension for a prompt that a single engine prefills: prefilling it
	 * again costs little, and an engine that keeps it waiting is the wrong choice for it.
	 * @param silence the length of the silence
	 */
	private void silenceTimedOut(Duration silence) {
		double remainingPrefill = this.ports.loads().load(this.target.start()).prefillMillis();
		if (this.placement.helpers().isEmpty() || remainingPrefill < BUSY_PREFILL_MILLIS
				|| this.extensions == MAX_EXTENSIONS) {
			this.request.attemptTimedOut(this);
			return;
		}
		this.extensions++;
		scheduleSilenceTimer(Duration.ofMillis(Math.round(Math.min(2 * remainingPrefill, silence.toMillis()))));
	}

	private void close() {
		this.closed = true;
		this.held.release();
		this.reservation.cancel();
		if (this.holdGroup != null) {
			this.holdGroup.release();
		}
		this.silenceTimer.cancel();
		if (this.work != null) {
			this.work.end();
		}
	}

}
