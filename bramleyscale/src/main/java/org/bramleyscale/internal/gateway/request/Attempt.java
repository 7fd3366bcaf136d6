package org.bramleyscale.internal.gateway.request;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.placement.PlacedWork;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Cancellable;

/**
 * One sending of a relayed request to one endpoint.
 *
 * <p>
 * Invariant: after {@link #cancel} it tells its request nothing more, and its work has
 * left the load board. Confined to the scheduler's thread.
 */
final class Attempt implements BackendListener {

	/** Answers that aren't streams are kept up to this size before they are passed on. */
	private static final int LARGEST_WHOLE = 16 * 1024 * 1024;

	/** What a first event may be late beyond twice its prediction. */
	private static final Duration FIRST_SLACK = Duration.ofMillis(600);

	private static final Duration TARGET_SLACK = Duration.ofMillis(300);

	/** The shortest silence between events that is taken for a failure. */
	private static final Duration LEAST_SILENCE = Duration.ofMillis(800);

	/** Pauses of that many times what callers allow are taken for a failure. */
	private static final int MOST_PAUSES = 4;

	/** A caller leaves at its patience's end; another endpoint needs the rest of it. */
	private static final double PATIENCE_USED = 0.6;

	/** A repeat of a call without events needs half of the time that is left. */
	private static final double TIME_USED = 0.5;

	/**
	 * An endpoint that has this much to read, ms, is taken for busy and not for failed.
	 * Whoever takes a long prompt elsewhere then has it read a second time, by engines
	 * that are as busy: in one overload of 12 s, 20 of 46 long prompts were begun anew
	 * and none of these came in time.
	 */
	private static final double BUSY_MILLIS = 200;

	/** How often a busy endpoint is given more time; it may have lost the request. */
	private static final int MOST_LONGER = 2;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final RelayedRequest request;

	private final Backend target;

	private final Placement placement;

	private final GatewayPorts ports;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteArrayOutputStream whole = new ByteArrayOutputStream();

	private BackendClient.BackendExchange exchange;

	private PlacedWork work;

	private MemoryHolds.Group group;

	private BackendHead head;

	private boolean over;

	private boolean reached;

	private long sentAt;

	private int longer;

	private Cancellable silenceTimer = () -> {
	};

	Attempt(RelayedRequest request, Backend target, Placement placement, GatewayPorts ports) {
		this.request = request;
		this.target = target;
		this.placement = placement;
		this.ports = ports;
	}

	/**
	 * Sends the request, after the memory that it needs elsewhere is held.
	 * @param outgoing makes the request as the endpoint gets it
	 */
	void send(Function<List<Helper>, OutgoingRequest> outgoing) {
		this.work = PlacedWork.begin(this.ports.loads(), this.placement, this.request.route(),
				this.request.promptTokens() + this.request.outputTokens());
		if (this.placement.holds().isEmpty()) {
			sendNow(outgoing.apply(helpers(null)));
			return;
		}
		this.group = this.ports.holds().reserve(this.placement.holds(), this.request.id(), (complete) -> {
			if (this.over) {
				return;
			}
			if (!complete) {
				close();
				this.request.notSent("memory", "no memory free for engine " + this.target.id());
			}
			else if (!this.ports.notices().takes(this.target)) {
				close();
				this.request.notSent("closed", "engine " + this.target.id() + " leaves or rests");
			}
			else {
				sendNow(outgoing.apply(helpers(this.group.id())));
			}
		});
	}

	private void sendNow(OutgoingRequest outgoing) {
		this.reached = true;
		this.sentAt = this.ports.scheduler().nanos();
		this.exchange = this.ports.client().send(this.target, outgoing, this);
		watchSilence(firstLimit());
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
	 * The engine because of which the target refused.
	 * @param head the target's answer
	 * @return one of the helpers if the answer names its address, else the target
	 */
	EndpointStart atFault(BackendHead head) {
		return this.placement.helpers()
			.stream()
			.filter((helper) -> head.atFault().filter(helper.address().toString()::equals).isPresent())
			.findFirst()
			.orElse(this.target)
			.start();
	}

	double predictedMillis() {
		return this.placement.firstMillis();
	}

	/**
	 * Whether the endpoint may work on the request.
	 * @return true while no answer and no failure says otherwise
	 */
	boolean mayRun() {
		return !this.over && this.reached;
	}

	void reading(boolean on) {
		if (!this.over && this.exchange != null) {
			this.exchange.reading(on);
			if (on) {
				watchSilence(pauseLimit());
			}
			else {
				this.silenceTimer.cancel();
			}
		}
	}

	void cancel() {
		if (!this.over) {
			close();
			if (this.exchange != null) {
				this.exchange.cancel();
			}
		}
	}

	@Override
	public void head(BackendHead head) {
		if (!this.over) {
			this.head = head;
			this.request.noticed(this.target, head.notice());
			if (head.genuine() && !head.notRun()) {
				// A refusal may come from the next endpoint at the target's address.
				this.request.gate().answered(this.target.start(), this.sentAt);
				this.ports.limits().answered(this.target.start(), head.notice().perSecond(), this.sentAt);
			}
		}
	}

	@Override
	public void data(byte[] data) {
		if (this.over) {
			return;
		}
		if (!streams()) {
			takeWhole(data);
			return;
		}
		List<EventSplitter.Event> events = this.splitter.take(data);
		if (!events.isEmpty()) {
			this.work.read();
			watchSilence(pauseLimit());
		}
		for (EventSplitter.Event event : events) {
			if (!this.over) {
				this.request.event(this, this.head, event);
			}
		}
	}

	@Override
	public void complete() {
		if (this.over) {
			return;
		}
		close();
		if (streams()) {
			this.request.streamComplete(this, this.head, this.splitter.rest());
		}
		else {
			this.request.answered(this, this.head, this.whole.toByteArray());
		}
	}

	@Override
	public void failed(boolean sent, String cause) {
		if (!this.over) {
			close();
			this.request.attemptFailed(this, sent, cause);
		}
	}

	/**
	 * Whether the answer is passed on event by event. An answer that doesn't look like
	 * the endpoint's own is kept until its end, and then dropped.
	 * @return true if it is
	 */
	private boolean streams() {
		return this.head != null && this.head.events() && this.head.success() && this.head.genuine();
	}

	private void takeWhole(byte[] data) {
		this.whole.write(data, 0, data.length);
		if (this.whole.size() > LARGEST_WHOLE) {
			close();
			this.exchange.cancel();
			this.request.attemptFailed(this, true, "answer larger than " + LARGEST_WHOLE + " bytes");
		}
	}

	/**
	 * How long a first event or an answer may take. Longer than that, an endpoint is more
	 * likely to have lost the request than to be slow, and a second endpoint can still
	 * answer before the caller leaves.
	 * @return the time
	 */
	private Duration firstLimit() {
		Route route = this.request.route();
		double predicted = 2 * this.placement.firstMillis() + FIRST_SLACK.toMillis();
		double target = 2 * route.targetLatency().toMillis() + TARGET_SLACK.toMillis();
		double most = PATIENCE_USED * route.patience().toMillis();
		if (!route.streaming()) {
			most = TIME_USED * this.request.left().toMillis();
		}
		return Duration.ofNanos((long) (Math.min(Math.max(predicted, target), most) * NANOS_PER_MILLI));
	}

	private Duration pauseLimit() {
		Route route = this.request.route();
		long pauses = Math.max(LEAST_SILENCE.toMillis(), MOST_PAUSES * route.longestPause().toMillis());
		return Duration.ofMillis((long) Math.min(pauses, PATIENCE_USED * route.patience().toMillis()));
	}

	private void watchSilence(Duration limit) {
		this.longer = 0;
		watch(limit);
	}

	private void watch(Duration limit) {
		this.silenceTimer.cancel();
		if (!this.over && this.request.route().repeatable()) {
			this.silenceTimer = this.ports.scheduler().schedule(limit, () -> {
				if (!this.over) {
					silentFor(limit);
				}
			});
		}
	}

	/**
	 * Takes the target for failed, or gives it more time if it is only busy. A prompt
	 * that one engine reads costs little when it is read again, and an engine that makes
	 * it wait is the wrong one for it.
	 * @param limit how long it was silent
	 */
	private void silentFor(Duration limit) {
		double unread = this.ports.loads().load(this.target.start()).readMillis();
		if (this.placement.helpers().isEmpty() || unread < BUSY_MILLIS || this.longer == MOST_LONGER) {
			this.request.silent(this);
			return;
		}
		this.longer++;
		watch(Duration.ofMillis(Math.round(Math.min(2 * unread, limit.toMillis()))));
	}

	private void close() {
		this.over = true;
		if (this.group != null) {
			this.group.release();
		}
		this.silenceTimer.cancel();
		if (this.work != null) {
			this.work.end();
		}
	}

}
