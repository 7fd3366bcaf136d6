package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.crash.RequestDigest;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.gateway.placement.PlacementRequest;
import org.bramleyscale.internal.time.Cancellable;

/**
 * One relayed request from its arrival to its only answer.
 *
 * <p>
 * Invariants: the caller gets exactly one final answer, or its connection is broken off;
 * a request that may run at most once is sent again only after an endpoint has vouched
 * that it didn't run it, or if it was never sent; "not run" is said only then too; a
 * stream that goes on at another endpoint does so after its last whole event. Confined to
 * the scheduler's thread.
 */
final class RelayedRequest {

	private static final int UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	/** When an endpoint refused: its queue is shorter by then. */
	private static final Duration REFUSED_PAUSE = Duration.ofMillis(300);

	/** A request isn't sent when less time than this is left for it. */
	private static final Duration LEAST_LEFT = Duration.ofMillis(15);

	private final GatewayPorts ports;

	private final CallerRequest request;

	private final CallerReply reply;

	private final Allowed allowed;

	private final Consumer<RelayedRequest> ended;

	private final long arrived;

	private final long endsAt;

	private final boolean longPrompt;

	private final KeptPrompt kept;

	private final SendGate gate;

	private final RequestLines lines;

	private final Tries tries;

	private boolean begun;

	private boolean over;

	private String lastEventId;

	private Attempt attempt;

	private Cancellable endTimer = () -> {
	};

	RelayedRequest(GatewayPorts ports, CallerRequest request, CallerReply reply, Allowed allowed,
			Consumer<RelayedRequest> ended) {
		this.ports = ports;
		this.request = request;
		this.reply = reply;
		this.allowed = allowed;
		this.ended = ended;
		this.arrived = ports.scheduler().nanos();
		this.endsAt = this.arrived + request.timeWithin(allowed.route().timeout()).toNanos();
		this.longPrompt = allowed.isLong(request.promptTokens());
		this.tries = new Tries(ports.retries(), allowed);
		this.lastEventId = request.lastEventId().orElse(null);
		this.kept = new KeptPrompt(ports, request.id(), allowed.service().name(),
				allowed.readMillis(request.promptTokens()));
		RequestDigest digest = allowed.digest(request);
		this.lines = new RequestLines(ports.log(), request, digest);
		this.gate = new SendGate(ports.scheduler(), ports.crashes(), digest,
				(reason, retryAfter) -> giveUp(UNAVAILABLE, reason, retryAfter));
	}

	void start() {
		Service service = this.allowed.service();
		this.ports.retries().first(service.name());
		if (!this.longPrompt) {
			this.ports.demands().shortBegan(service.name());
		}
		this.endTimer = this.ports.scheduler().schedule(left(), this::timeOver);
		send();
	}

	/**
	 * The caller has closed its connection: whatever runs for it is dropped.
	 */
	void callerGone() {
		if (!this.over) {
			finish("caller gone", "left", "ran", ran() ? "unknown" : "no");
		}
	}

	private void send() {
		if (left().compareTo(LEAST_LEFT) < 0) {
			timeOver();
			return;
		}
		this.gate.pass(this::place);
	}

	private void place() {
		Route route = this.allowed.route();
		Placement placement = this.ports.placement()
			.place(new PlacementRequest(route, this.allowed.service(), this.request.promptTokens(),
					this.request.outputTokens(), callerStays(), waited(), this.tries.tried(), this.ports.limits(),
					this.ports.dataCentre()));
		if (placement.waits()) {
			this.kept.keep(placement, left(), this::send);
			return;
		}
		this.kept.end();
		if (placement.target().isEmpty()) {
			giveUp(UNAVAILABLE, placement.reason(), placement.retryAfter());
			return;
		}
		Backend target = placement.target().get();
		this.tries.asks(target.start());
		this.ports.limits().sent(target.start());
		this.lines.sent(placement, this.tries.asked(), left(), this.allowed.version(), this.lastEventId);
		this.gate.sent();
		this.attempt = new Attempt(this, target, placement, this.ports);
		this.attempt.send((helpers) -> new OutgoingRequest(this.request, this.allowed.account().map(Account::id),
				left(), Optional.ofNullable(this.lastEventId), helpers, this.allowed.priority(this.longPrompt),
				!route.repeatable()));
		if (this.longPrompt) {
			this.ports.longSent().run();
		}
	}

	private Duration waited() {
		return Duration.ofNanos(this.ports.scheduler().nanos() - this.arrived);
	}

	/**
	 * An endpoint says something of itself.
	 * @param endpoint the endpoint
	 * @param notice what it says
	 */
	void noticed(Backend endpoint, EndpointNotice notice) {
		this.lines.noticed(endpoint, notice);
		this.ports.notices().heard(endpoint.start(), notice);
	}

	void answered(Attempt from, BackendHead head, byte[] body) {
		if (head.genuine() && !head.notRun()) {
			this.gate.survived();
		}
		if (head.notRun()) {
			refusedBy(from, head);
		}
		else if (head.failure() && this.tries.takeRun(1)) {
			this.tries.mayHaveRun();
			this.ports.health().failed(from.target().start());
			again(from, "failed with " + head.status());
		}
		else if (head.success() && !head.genuine()) {
			this.tries.mayHaveRun();
			this.ports.health().failed(from.target().start());
			brokenOff(from, "answer without signature");
		}
		else {
			this.tries.mayHaveRun();
			this.ports.health().answered(from.target().start(), head.failure());
			this.reply.whole(head.status(), head.headers(), body);
			this.ports.metrics().answered(waited().toNanos());
			finish("completed", head.success() ? "completed" : "failed", "status", head.status(), "endpoint",
					from.target().id());
		}
	}

	/**
	 * A whole event of a stream.
	 * @param from the attempt that brought it
	 * @param head the head of that attempt's answer
	 * @param event the event
	 */
	void event(Attempt from, BackendHead head, EventSplitter.Event event) {
		if (!event.isAfter(this.lastEventId)) {
			return;
		}
		if (!this.begun) {
			this.begun = true;
			Duration waited = waited();
			this.ports.metrics().firstEvent(this.longPrompt, waited.toNanos());
			this.lines.firstEvent(from.target(), waited, from.predictedMillis());
			this.reply.onReadsAgain(this::callerReads);
			this.reply.begin(head.status(), head.headers());
		}
		if (event.id() != null) {
			this.lastEventId = event.id();
		}
		if (!this.reply.write(event.bytes())) {
			from.reading(false);
		}
	}

	private void callerReads() {
		if (this.attempt != null) {
			this.attempt.reading(true);
		}
	}

	/**
	 * A stream has ended as complete.
	 * @param from the attempt that brought it
	 * @param head the head of that attempt's answer
	 * @param rest bytes after the last whole event
	 */
	void streamComplete(Attempt from, BackendHead head, byte[] rest) {
		this.tries.mayHaveRun();
		if (!this.begun) {
			this.begun = true;
			this.reply.begin(head.status(), head.headers());
		}
		if (rest.length > 0) {
			this.reply.write(rest);
		}
		this.ports.health().served(from.target().start());
		this.gate.survived();
		this.reply.end();
		finish("completed", "completed", "endpoint", from.target().id(), "last_event", this.lastEventId);
	}

	/**
	 * An attempt ended without an answer, or in the middle of it.
	 * @param from the attempt
	 * @param sent whether the endpoint may have got the request
	 * @param cause what happened
	 */
	void attemptFailed(Attempt from, boolean sent, String cause) {
		if (!sent) {
			this.ports.health().unreachable(from.target().start(), cause);
			this.ports.metrics().again("unreachable");
			this.lines.unreachable(from.target(), cause);
			retryOr(false, cause);
			return;
		}
		this.tries.mayHaveRun();
		this.ports.health().failed(from.target().start());
		this.lines.fell(from.target(), cause, this.lastEventId);
		this.gate.fell(from.target());
		brokenOff(from, cause);
	}

	/**
	 * An attempt has been silent for longer than its caller would bear.
	 * @param from the attempt
	 */
	void silent(Attempt from) {
		if (!this.tries.takeRun(1)) {
			return;
		}
		this.tries.mayHaveRun();
		this.gate.fell(from.target());
		this.ports.health().unreachable(from.target().start(), "silent");
		this.ports.health().failed(from.target().start());
		this.ports.metrics().again("silent");
		this.lines.takenElsewhere(from.target(), this.lastEventId);
		from.cancel();
		send();
	}

	/**
	 * An attempt couldn't be made; nothing was sent.
	 * @param cause what it lacked, in a word
	 * @param reason why
	 */
	void notSent(String cause, String reason) {
		this.ports.metrics().again(cause);
		retryOr(false, reason);
	}

	String id() {
		return this.request.id();
	}

	SendGate gate() {
		return this.gate;
	}

	Route route() {
		return this.allowed.route();
	}

	long promptTokens() {
		return this.request.promptTokens();
	}

	long outputTokens() {
		return this.request.outputTokens();
	}

	Duration left() {
		return Duration.ofNanos(this.endsAt - this.ports.scheduler().nanos());
	}

	/**
	 * How long the caller stays. It bears its route's patience until the first event; a
	 * stream that goes on elsewhere has the rest of its time.
	 * @return the time
	 */
	private Duration callerStays() {
		Duration patience = this.allowed.route().patience().minus(waited());
		return (!this.begun && patience.compareTo(left()) < 0) ? patience : left();
	}

	private void refusedBy(Attempt from, BackendHead head) {
		this.ports.metrics().again("refused");
		this.lines.refused(from.target(), head);
		EndpointStart atFault = from.atFault(head);
		if (this.ports.health().restLeft(atFault).isZero()) {
			this.ports.health().unreachable(atFault, "refused with " + head.status());
		}
		retryOr(true, "endpoints refused");
	}

	private void again(Attempt from, String cause) {
		this.ports.metrics().again("failed");
		this.lines.sentAgain(from.target(), cause, this.lastEventId);
		from.cancel();
		send();
	}

	private void brokenOff(Attempt from, String cause) {
		if (this.tries.takeRun(0)) {
			again(from, cause);
			return;
		}
		from.cancel();
		giveUp(BAD_GATEWAY, cause, Duration.ZERO);
	}

	private void retryOr(boolean arrived, String reason) {
		if (!arrived) {
			this.gate.notArrived();
		}
		if (this.tries.takeTry(arrived)) {
			send();
		}
		else {
			giveUp(UNAVAILABLE, reason, REFUSED_PAUSE);
		}
	}

	private void timeOver() {
		if (this.over) {
			return;
		}
		boolean waits = this.attempt != null && this.attempt.mayRun();
		giveUp(waits ? GATEWAY_TIMEOUT : UNAVAILABLE, "time is over", Duration.ZERO);
	}

	/**
	 * Ends the request without an endpoint's answer.
	 * @param status the status if the request has certainly not run
	 * @param reason why
	 * @param retryAfter when to come back
	 */
	private void giveUp(int status, String reason, Duration retryAfter) {
		boolean ran = ran();
		int said = (ran && status == UNAVAILABLE) ? BAD_GATEWAY : status;
		if (this.begun) {
			this.reply.abort();
		}
		else {
			this.reply.own(said, reason, retryAfter);
		}
		finish(ran ? "failed" : "refused", ran ? "failed" : "refused", "status", said, "reason", reason, "ran",
				ran ? "unknown" : "no", "retry_after_ms", retryAfter.toMillis(), "asked", this.tries.asked(), "begun",
				this.begun);
	}

	private boolean ran() {
		return this.tries.anyMayHaveRun() || (this.attempt != null && this.attempt.mayRun());
	}

	private void finish(String decision, String outcome, Object... fields) {
		this.over = true;
		this.endTimer.cancel();
		this.kept.end();
		this.gate.close();
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		if (!this.longPrompt) {
			this.ports.demands().shortEnded(this.allowed.service().name());
		}
		this.ports.metrics().ended(outcome);
		this.lines.ended(decision, this.allowed.route(), waited(), fields);
		this.ended.accept(this);
	}

}
