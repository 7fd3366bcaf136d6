package org.bramleyscale.internal.request.forward;

import java.time.Duration;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.attempt.ResettableTimer;
import org.bramleyscale.internal.time.Cancellable;

/**
 * One caller's request that this entry daemon forwards to the home daemon.
 *
 * <p>
 * Messages may be lost with a connection, in either direction, without notification of
 * either side. The caller could then wait until its deadline for an answer that the home
 * daemon has already completed. Therefore, when the home daemon is silent for too long,
 * the entry daemon retries under a new number: it resumes at the missing offset if the
 * home daemon had acknowledged the request, and resends the whole request if not.
 * Retrying is safe because the home daemon starts each id once and attaches later
 * messages to it.
 *
 * <p>
 * Invariants: the caller is notified of exactly one end, unless it detaches; messages
 * under an old number are ignored; without an answer from the home daemon a failure never
 * claims that the request did not run, since the home daemon may have run it already,
 * through this entry daemon or another. Confined to the scheduler's thread.
 */
final class OutboundForward {

	private static final int MAX_UNANSWERED = 3;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

	private final OutboundForwards forwards;

	private final ForwardedRequest request;

	private final ForwardCaller caller;

	private final AnswerLog delivered;

	private final ResettableTimer silenceTimer;

	private final ForwardDeadline deadline;

	private long number;

	private PartSender parts;

	private PartReceiver replyParts;

	private ForwardReply reply;

	private long nextOffset;

	private long characters;

	private boolean acknowledged;

	private boolean admissionReported;

	private int unanswered;

	private boolean ended;

	private Cancellable takenOver;

	OutboundForward(OutboundForwards forwards, ForwardedRequest request, ForwardCaller caller) {
		this.forwards = forwards;
		this.request = request;
		this.caller = caller;
		this.nextOffset = request.offset();
		this.delivered = (request instanceof ForwardedRequest.Generation && request.canBeTakenOver()) ? new AnswerLog()
				: null;
		this.silenceTimer = new ResettableTimer(forwards.scheduler(), this::onSilenceTimeout);
		this.deadline = new ForwardDeadline(forwards.scheduler(), request.timeLeft().orElse(null), this::onDeadline);
	}

	RequestId id() {
		return this.request.id();
	}

	long number() {
		return this.number;
	}

	/**
	 * Sends the request for the first time.
	 */
	void begin() {
		if (!sendRequest()) {
			homeLost();
		}
	}

	/**
	 * Handles the disconnection of the caller.
	 */
	void detach() {
		if (this.takenOver != null) {
			this.takenOver.cancel();
		}
		if (!this.ended) {
			send(new ForwardDetach(this.number));
			close();
		}
	}

	/**
	 * Handles the loss of the home daemon, or its failure to answer.
	 */
	void homeLost() {
		if (this.ended) {
			return;
		}
		close();
		this.forwards.metrics().homeLost();
		if (this.request.canBeTakenOver()) {
			this.takenOver = this.request.takeOver(this.forwards.home(), this.deadline.timeLeft(), this.delivered,
					this.caller.reader(this.nextOffset, this.admissionReported));
			return;
		}
		String home = home();
		Ran ran = (this.nextOffset > 0) ? Ran.YES : Ran.UNKNOWN;
		boolean mayRecover = this.forwards.mayRecover(id());
		String message = "daemon '" + home + "', which issued request id '" + id() + "', "
				+ ((mayRecover) ? "does not answer" : "is no longer running");
		this.caller.failed(new ServingException(ErrorCode.HOME_GONE, ran, Step.FORWARD, home, message,
				(mayRecover) ? RETRY_AFTER : null));
	}

	void bodyAcknowledged(int acknowledgedParts) {
		if (this.parts != null) {
			this.parts.acknowledged(acknowledgedParts);
			pumpBody();
			waitForAcknowledgement();
		}
	}

	void accepted(RequestId admittedId) {
		this.acknowledged = true;
		this.unanswered = 0;
		this.parts = null;
		reportAdmission(admittedId);
		waitForAnswer();
	}

	void tokens(ForwardTokens piece) {
		if (piece.offset() > this.nextOffset) {
			retry();
			return;
		}
		if (piece.offset() == this.nextOffset && piece.tokens() > 0) {
			this.nextOffset += piece.tokens();
			if (this.delivered != null) {
				this.delivered.offer(piece.offset(), piece.tokens(), piece.text());
			}
			this.caller.tokens(piece.offset(), piece.tokens(), piece.text());
		}
		this.characters += piece.text().length();
		if (!this.ended) {
			send(new ForwardCredit(this.number, this.characters));
			waitForAnswer();
		}
	}

	void done(ForwardDone done) {
		if (done.tokens() > this.nextOffset) {
			retry();
			return;
		}
		close();
		this.caller.completed(
				new EngineUsage(done.promptTokens(), done.cachedTokens(), done.answerTokens(), done.finishReason()));
	}

	void replied(ForwardReply firstMessage) {
		this.reply = firstMessage;
		this.replyParts = new PartReceiver(firstMessage.bodyBytes());
		replyPart(0, firstMessage.firstPart());
	}

	void replyPart(int index, byte[] part) {
		if (this.replyParts == null || !this.replyParts.accept(index, part)) {
			retry();
			return;
		}
		if (!this.replyParts.complete()) {
			send(new ForwardReplyCredit(this.number, this.replyParts.parts()));
			waitForAnswer();
			return;
		}
		close();
		this.caller.replied(new ServiceReply(this.reply.status(), this.reply.headers(), this.replyParts.content()));
	}

	void failed(ForwardFailed failure) {
		if (failure.code() == ErrorCode.HOME_GONE) {
			homeLost();
			return;
		}
		close();
		this.caller.failed(failure.failure(home()));
	}

	private void reportAdmission(RequestId admittedId) {
		if (!this.admissionReported) {
			this.admissionReported = true;
			this.caller.admitted(admittedId);
		}
	}

	private void onSilenceTimeout() {
		this.unanswered++;
		if (this.unanswered > MAX_UNANSWERED) {
			homeLost();
			return;
		}
		retry();
	}

	private void onDeadline() {
		if (this.ended) {
			return;
		}
		send(new ForwardDetach(this.number));
		close();
		Ran ran = (this.nextOffset > 0) ? Ran.YES : Ran.UNKNOWN;
		this.caller.failed(new ServingException(ErrorCode.DEADLINE_EXCEEDED, ran, Step.FORWARD, home(),
				"the deadline passed before home daemon '" + home() + "' had completed the request"));
	}

	private void retry() {
		send(new ForwardDetach(this.number));
		this.replyParts = null;
		this.characters = 0;
		if (!this.acknowledged) {
			sendRequest();
			return;
		}
		this.number = this.forwards.renumber(this);
		send(new ForwardResume(this.number, id().toString(), this.request.account().value(), this.nextOffset));
		waitForAcknowledgement();
	}

	private boolean sendRequest() {
		this.number = this.forwards.renumber(this);
		this.parts = new PartSender(this.request.body());
		waitForAcknowledgement();
		if (!send(this.request.message(this.number, this.deadline.timeLeftAtHome(), this.parts))) {
			return false;
		}
		pumpBody();
		return true;
	}

	private void pumpBody() {
		this.parts.pump((part) -> send(new ForwardBody(this.number, part.index(), part.bytes())));
	}

	private void waitForAcknowledgement() {
		this.silenceTimer.start(this.forwards.settings().forwardAcknowledgement());
	}

	private void waitForAnswer() {
		this.unanswered = 0;
		this.silenceTimer.start(this.forwards.settings().streamSilence());
	}

	private boolean send(PeerMessage message) {
		return this.forwards.send(id().issuer(), message);
	}

	private String home() {
		return id().issuer().vm().toString();
	}

	private void close() {
		this.ended = true;
		this.silenceTimer.close();
		this.deadline.close();
		this.forwards.closed(this);
	}

}
