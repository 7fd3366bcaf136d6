package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.crash.RequestDigest;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.gateway.placement.PlacementRequest;
import org.bramleyscale.internal.gateway.retry.RetryUrgency;
import org.bramleyscale.internal.gateway.retry.RetryUsage;
import org.bramleyscale.internal.time.Cancellable;

/**
 * One relayed request from its arrival to its single response.
 *
 * <p>
 * Invariants: the caller gets exactly one final response, or its connection is aborted;
 * the time limit holds until that is on the wire; a request that may run at most once is
 * resent only if it was never sent or if the endpoint guarantees that it didn't run it;
 * "not run" is reported only under the same conditions; a stream that moves to another
 * endpoint resumes after its last complete event. Confined to the scheduler's thread.
 */
final class RelayedRequest implements HandledRequest {

	private static final int UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final String PATH_LOST = "no path to the service's endpoints";

	/** Sent after an endpoint's refusal: by then its queue is expected to be shorter. */
	private static final Duration REFUSED_RETRY_AFTER = Duration.ofMillis(300);

	/**
	 * Sent after an endpoint's refusal if another endpoint would take the request now.
	 * The caller's own retry is a request of its own, for which the retry budget isn't
	 * needed.
	 */
	private static final Duration TAKEN_ELSEWHERE_RETRY_AFTER = Duration.ofMillis(20);

	/** A request with less time left than this isn't sent. */
	private static final Duration MIN_TIME_LEFT = Duration.ofMillis(15);

	private final GatewayPorts ports;

	private final CallerRequest request;

	private final CallerReply reply;

	private final ResolvedRoute resolved;

	private final RequestTimes times;

	private final boolean longPrompt;

	private final DeferredRequest deferral;

	private final Optional<QueueTurn> turn;

	private final SendGate gate;

	private final RequestLog log;

	private final RetryState retryState;

	private final StopLimit stopLimit;

	private boolean finished;

	private final RelayedStream stream;

	private Attempt attempt;

	private Cancellable deadlineTimer = () -> {
	};

	RelayedRequest(GatewayPorts ports, CallerRequest request, CallerReply reply, ResolvedRoute resolved) {
		this.ports = ports;
		this.request = request;
		this.reply = reply;
		this.resolved = resolved;
		this.times = new RequestTimes(ports.scheduler(), request, resolved.route());
		this.longPrompt = resolved.isLong(request.promptTokens());
		this.stream = new RelayedStream(reply, request.lastEventId().orElse(null));
		this.deferral = new DeferredRequest(ports, request.id(), resolved.service().name(),
				resolved.prefillMillis(request.promptTokens()));
		this.turn = resolved.contends() ? Optional.of(new QueueTurn(ports, resolved, request, this)) : Optional.empty();
		RequestDigest digest = resolved.digest(request);
		this.log = new RequestLog(ports.log(), request, digest);
		this.retryState = new RetryState(ports.retryBudget(), resolved, this::retryDecided);
		this.stopLimit = new StopLimit(resolved.answerTime(request));
		this.gate = new SendGate(ports.scheduler(), ports.crashes(), resolved.crashCauses(request, digest),
				(reason, retryAfter) -> giveUp(UNAVAILABLE, reason, retryAfter));
	}

	void start() {
		Service service = this.resolved.service();
		this.ports.retryBudget().recordRequest(service.name());
		if (!this.longPrompt) {
			this.ports.demands().shortBegan(service.name());
			if (this.resolved.contends()) {
				this.ports.demands().shortArrived(service.name(), this.resolved.slotMillis(this.request));
			}
		}
		this.deadlineTimer = this.ports.scheduler().schedule(timeLeft(), this::deadlineExceeded);
		this.reply.onEnd(this::callerDisconnected);
		send();
	}

	/**
	 * Cancels the attempt in progress. Also called when the response is on the wire or
	 * can't get there.
	 */
	@Override
	public void callerDisconnected() {
		this.deadlineTimer.cancel();
		if (!this.finished) {
			finish("caller gone", "left", "ran", mayHaveRun() ? "unknown" : "no");
		}
	}

	@Override
	public void daemonStops(Duration untilExit) {
		boolean waits = !this.finished && !this.stream.started() && !atEndpoint();
		if (waits && this.stopLimit.reached(timeLeft(), untilExit)) {
			giveUp(UNAVAILABLE, "daemon leaves", GatewayService.LEAVING_RETRY_AFTER);
		}
	}

	@Override
	public void daemonExits() {
		if (!this.finished) {
			giveUp(UNAVAILABLE, "daemon exits", GatewayService.LEAVING_RETRY_AFTER);
		}
	}

	void send() {
		if (timeLeft().compareTo(MIN_TIME_LEFT) < 0) {
			deadlineExceeded();
			return;
		}
		this.gate.pass(this::place);
	}

	/**
	 * Places the request. Only its first attempt takes a turn in the queue: a caller
	 * whose endpoint failed or refused has waited for longer than those in the queue.
	 */
	private void place() {
		if (this.turn.isPresent() && this.retryState.attempts() == 0) {
			this.turn.get().take();
			return;
		}
		Placement placement = choosePlacement();
		if (placement.waits()) {
			this.deferral.defer(placement, timeLeft(), this::send);
			return;
		}
		this.deferral.end();
		proceed(placement);
	}

	Placement choosePlacement() {
		if (pathLost()) {
			return Placement.refused(PATH_LOST, this.ports.paths().retryAfter());
		}
		Duration callerTimeLeft = this.stream.started() ? timeLeft() : this.times.callerLeft();
		return this.ports.placement()
			.place(new PlacementRequest(this.resolved.route(), this.resolved.account(), this.resolved.service(),
					this.request.promptTokens(), this.request.outputTokens(), callerTimeLeft, this.times.elapsed(),
					this.retryState.tried(), this.ports.rules(), this.ports.dataCentre()));
	}

	/**
	 * Sends the request according to a placement that doesn't wait, or refuses it.
	 * @param placement the placement
	 */
	void proceed(Placement placement) {
		if (placement.target().isEmpty()) {
			giveUp(UNAVAILABLE, placement.reason(), placement.retryAfter());
			return;
		}
		Backend target = placement.target().get();
		this.retryState.recordAttempt(target.start());
		this.log.sent(placement, this.retryState.attempts(), timeLeft(), this.resolved.version(),
				this.stream.lastEventId(), this.turn);
		this.gate.sent();
		this.attempt = new Attempt(this, target, placement, this.ports);
		this.attempt.send((helpers) -> new OutgoingRequest(this.request, this.resolved.account().map(Account::id),
				timeLeft(), Optional.ofNullable(this.stream.lastEventId()), helpers,
				this.resolved.priority(this.longPrompt), !this.resolved.route().repeatable()));
		if (this.longPrompt) {
			this.ports.onLongPromptSent().run();
		}
	}

	/**
	 * Whether the caller has events of this stream, from this request or from one that it
	 * resumes.
	 * @return false before the first event
	 */
	boolean hasEvents() {
		return this.stream.started() || this.stream.lastEventId() != null;
	}

	private void retryDecided(boolean granted, int attempts, RetryUsage usage) {
		this.ports.metrics().retryDecided(granted);
		this.log.retry(granted, attempts, usage);
	}

	/**
	 * Called when an attempt is sent to its endpoint.
	 */
	void attemptSent() {
		this.retryState.sent();
	}

	/**
	 * Called when the endpoint of an attempt has begun to answer.
	 */
	void attemptArrived() {
		this.retryState.arrived();
	}

	private RetryUrgency urgency() {
		return (hasEvents() || this.times.withinTarget()) ? RetryUrgency.IN_TIME : RetryUrgency.LATE;
	}

	private boolean pathLost() {
		return this.ports.paths().lost(this.resolved.service().name());
	}

	/**
	 * Called when an endpoint reports something about itself.
	 * @param endpoint the endpoint
	 * @param notice its report
	 */
	void noticeReceived(Backend endpoint, EndpointNotice notice) {
		this.log.noticeReceived(endpoint, notice);
		this.ports.notices().apply(endpoint.start(), notice);
	}

	void responseReceived(Attempt from, BackendHead head, byte[] body) {
		if (head.genuine() && !head.notRun()) {
			this.gate.responded(from, head);
		}
		if (head.notRun()) {
			refusedBy(from, head);
		}
		else if (head.failure() && this.retryState.acquireRerun(1, urgency())) {
			this.retryState.recordPossibleRun();
			this.ports.health().failed(from.target().start());
			resend(from, "failed with " + head.status());
		}
		else if (head.success() && !head.genuine()) {
			this.retryState.recordPossibleRun();
			this.ports.health().failed(from.target().start());
			responseInterrupted(from, "answer without signature");
		}
		else if (this.stream.started()) {
			this.retryState.recordPossibleRun();
			this.ports.health().answered(from.target().start(), head.failure());
			giveUp(BAD_GATEWAY, "stream continued with status " + head.status(), Duration.ZERO);
		}
		else {
			this.retryState.recordPossibleRun();
			this.ports.health().answered(from.target().start(), head.failure());
			this.ports.metrics().recordResponse(this.times.elapsed().toNanos());
			finish("completed", head.success() ? "completed" : "failed", "status", head.status(), "endpoint",
					from.target().id(), "ended_by", from.endedBy());
			this.reply.sendResponse(head.status(), head.headers(), body);
		}
	}

	/**
	 * Called with a complete event of a stream.
	 * @param from the attempt that received it
	 * @param head the head of that attempt's response
	 * @param event the event
	 */
	void eventReceived(Attempt from, BackendHead head, EventSplitter.Event event) {
		if (this.stream.has(event)) {
			return;
		}
		if (!this.stream.started()) {
			Duration elapsed = this.times.elapsed();
			this.ports.metrics().recordFirstEvent(this.longPrompt, elapsed.toNanos());
			this.log.firstEvent(from.target(), elapsed, from.predictedMillis());
			this.stream.start(head, this::callerWritable);
		}
		if (!this.stream.write(event)) {
			from.setReading(false);
		}
	}

	private void callerWritable() {
		if (this.attempt != null) {
			this.attempt.setReading(true);
		}
	}

	/**
	 * Called when a stream is complete.
	 * @param from the attempt that received it
	 * @param head the head of that attempt's response
	 * @param rest the bytes after the last complete event
	 */
	void streamCompleted(Attempt from, BackendHead head, byte[] rest) {
		this.retryState.recordPossibleRun();
		this.ports.health().served(from.target().start());
		this.gate.responded(from, head);
		finish("completed", "completed", "endpoint", from.target().id(), "last_event", this.stream.lastEventId(),
				"ended_by", from.endedBy());
		this.stream.complete(head, rest);
	}

	/**
	 * Called when an attempt ended without a complete response.
	 * @param from the attempt
	 * @param sent whether the endpoint may have received the request
	 * @param cause the cause of the failure
	 */
	void attemptFailed(Attempt from, boolean sent, String cause) {
		if (!sent) {
			this.ports.health().unreachable(from.target().start(), cause);
			this.gate.endpointUnreachable(from.target());
			this.ports.metrics().requestResent("unreachable");
			this.log.unreachable(from.target(), cause);
			retryOrGiveUp(false, cause);
			return;
		}
		this.retryState.recordPossibleRun();
		this.ports.health().failed(from.target().start());
		this.log.attemptFailed(from.target(), cause, this.stream.lastEventId(), from.trace());
		this.gate.endpointFailed(from.target());
		responseInterrupted(from, cause);
	}

	/**
	 * Called when an attempt has been silent for longer than its timeout.
	 * @param from the attempt
	 */
	void attemptTimedOut(Attempt from) {
		if (pathLost()) {
			giveUp(BAD_GATEWAY, PATH_LOST, Duration.ZERO);
			return;
		}
		if (this.gate.trialRuns() || !this.retryState.acquireRerun(1, urgency())) {
			return;
		}
		this.retryState.recordPossibleRun();
		this.gate.endpointFailed(from.target());
		this.ports.health().unreachable(from.target().start(), "silent");
		this.ports.health().failed(from.target().start());
		this.ports.metrics().requestResent("silent");
		this.log.attemptTimedOut(from.target(), this.stream.lastEventId(), from.trace());
		from.cancel();
		send();
	}

	/**
	 * Called when an attempt failed before anything was sent.
	 * @param cause the cause as a suffix of a metric name
	 * @param reason the reason
	 */
	void notSent(String cause, String reason) {
		this.ports.metrics().requestResent(cause);
		retryOrGiveUp(false, reason);
	}

	String id() {
		return this.request.id();
	}

	SendGate gate() {
		return this.gate;
	}

	RequestScope scope() {
		return this.resolved.scope();
	}

	Route route() {
		return this.resolved.route();
	}

	long promptTokens() {
		return this.request.promptTokens();
	}

	long outputTokens() {
		return this.request.outputTokens();
	}

	Duration timeLeft() {
		return this.times.left();
	}

	private void refusedBy(Attempt from, BackendHead head) {
		this.ports.metrics().requestResent("refused");
		this.log.refused(from.target(), head);
		EndpointStart atFault = from.endpointAtFault(head);
		if (this.ports.health().backoffLeft(atFault).isZero()) {
			this.ports.health().unreachable(atFault, "refused with " + head.status());
		}
		retryOrGiveUp(true, "endpoints refused");
	}

	private void resend(Attempt from, String cause) {
		this.ports.metrics().requestResent("failed");
		this.log.resent(from.target(), cause, this.stream.lastEventId(), from.trace());
		from.cancel();
		send();
	}

	private void responseInterrupted(Attempt from, String cause) {
		if (this.retryState.acquireRerun(0, urgency())) {
			resend(from, cause);
			return;
		}
		from.cancel();
		giveUp(BAD_GATEWAY, cause, Duration.ZERO);
	}

	private void retryOrGiveUp(boolean arrived, String reason) {
		if (!arrived) {
			this.gate.notDelivered();
		}
		if (this.retryState.acquireRetry(arrived, urgency())) {
			send();
		}
		else {
			giveUp(UNAVAILABLE, reason, retryAfterRefusal());
		}
	}

	private Duration retryAfterRefusal() {
		boolean takenElsewhere = this.retryState.attemptsLeft() && choosePlacement().target().isPresent();
		return takenElsewhere ? TAKEN_ELSEWHERE_RETRY_AFTER : REFUSED_RETRY_AFTER;
	}

	private void deadlineExceeded() {
		if (this.finished) {
			this.log.unwritten(this.times.elapsed());
			this.reply.abort();
			return;
		}
		giveUp(atEndpoint() ? GATEWAY_TIMEOUT : UNAVAILABLE, "time is over", Duration.ZERO);
	}

	/**
	 * Ends the request because its turn in the queue would come too late.
	 * @param reason the reason
	 * @param retryAfter when the caller should retry
	 */
	void refuse(String reason, Duration retryAfter) {
		giveUp(UNAVAILABLE, reason, retryAfter);
	}

	/**
	 * Ends the request without a response from an endpoint.
	 * @param status the status if the request has certainly not run
	 * @param reason the reason
	 * @param retryAfter when the caller should retry
	 */
	private void giveUp(int status, String reason, Duration retryAfter) {
		boolean ran = mayHaveRun();
		int reportedStatus = (ran && status == UNAVAILABLE) ? BAD_GATEWAY : status;
		finish(ran ? "failed" : "refused", ran ? "failed" : "refused", "status", reportedStatus, "reason", reason,
				"ran", ran ? "unknown" : "no", "retry_after_ms", retryAfter.toMillis(), "asked",
				this.retryState.attempts(), "begun", this.stream.started(), "priority",
				this.turn.map(QueueTurn::priority).orElse(null), "rank", this.turn.map(QueueTurn::rank).orElse(null));
		if (this.stream.started()) {
			this.reply.abort();
		}
		else {
			this.reply.sendOwnResponse(reportedStatus, reason, retryAfter);
		}
	}

	private boolean mayHaveRun() {
		return this.retryState.mayHaveRun() || atEndpoint();
	}

	private boolean atEndpoint() {
		return this.attempt != null && this.attempt.mayBeRunning();
	}

	private void finish(String decision, String outcome, Object... fields) {
		this.finished = true;
		this.deferral.end();
		this.turn.ifPresent(QueueTurn::end);
		this.gate.close();
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		this.retryState.end();
		if (!this.longPrompt) {
			this.ports.demands().shortEnded(this.resolved.service().name());
		}
		this.ports.metrics().requestEnded(outcome);
		this.log.ended(decision, this.resolved.route(), this.times.elapsed(),
				(this.attempt != null) ? this.attempt.trace() : ExchangeTrace.NOT_SENT, fields);
		this.ports.contention().capacityMayBeFree();
	}

}
