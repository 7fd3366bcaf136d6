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
 * One caller's request on its way to its home, seen from the entry that the caller
 * reached.
 *
 * <p>
 * Messages may be lost with a connection, in either direction, and neither side is told.
 * One would see a caller wait until its deadline for an answer that its home has long
 * finished. So whenever the home is silent for too long, the entry asks again under a new
 * number: from the missing offset if the home had acknowledged, with the whole request if
 * not. Asking again is safe because the home starts an id once and lets later messages
 * attach to it.
 *
 * <p>
 * Invariants: the caller hears of exactly one end; messages under an old number are
 * ignored; without an answer of the home nothing is said to not have run, since the home
 * may have run the request already, through this entry or another. Confined to the
 * scheduler's thread.
 */
final class OutboundForward {

	private static final int MOST_UNANSWERED = 3;

	private static final Duration RETRY_PAUSE = Duration.ofSeconds(2);

	private final OutboundForwards forwards;

	private final ForwardWork work;

	private final CallerSide caller;

	private final AnswerLog seen;

	private final ResettableTimer patience;

	private final ForwardDeadline deadline;

	private long number;

	private PartSender parts;

	private PartReceiver replyParts;

	private ForwardReply reply;

	private long next;

	private long characters;

	private boolean acknowledged;

	private boolean announced;

	private int unanswered;

	private boolean ended;

	private Cancellable adopted;

	OutboundForward(OutboundForwards forwards, ForwardWork work, CallerSide caller) {
		this.forwards = forwards;
		this.work = work;
		this.caller = caller;
		this.next = work.offset();
		this.seen = (work instanceof ForwardWork.Generation && work.adoptable()) ? new AnswerLog() : null;
		this.patience = new ResettableTimer(forwards.scheduler(), this::onSilence);
		this.deadline = new ForwardDeadline(forwards.scheduler(), work.timeLeft().orElse(null), this::onDeadline);
	}

	RequestId id() {
		return this.work.id();
	}

	long number() {
		return this.number;
	}

	/**
	 * Sends the request for the first time.
	 */
	void begin() {
		if (!sendWhole()) {
			homeLost();
		}
	}

	/**
	 * The caller has gone.
	 */
	void detach() {
		if (this.adopted != null) {
			this.adopted.cancel();
		}
		if (!this.ended) {
			send(new ForwardDetach(this.number));
			close();
		}
	}

	/**
	 * The home is gone, or doesn't answer.
	 */
	void homeLost() {
		if (this.ended) {
			return;
		}
		close();
		this.forwards.metrics().homeLost();
		if (this.work.adoptable()) {
			this.adopted = this.work.adopt(this.forwards.home(), this.deadline.left(), this.seen,
					this.caller.reader(this.next, this.announced));
			return;
		}
		String home = home();
		Ran ran = (this.next > 0) ? Ran.YES : Ran.UNKNOWN;
		boolean mayReturn = this.forwards.mayReturn(id());
		String message = "daemon '" + home + "', which issued request id '" + id() + "', "
				+ ((mayReturn) ? "does not answer" : "is gone");
		this.caller.failed(new ServingException(ErrorCode.HOME_GONE, ran, Step.FORWARD, home, message,
				(mayReturn) ? RETRY_PAUSE : null));
	}

	void bodyTaken(int taken) {
		if (this.parts != null) {
			this.parts.taken(taken);
			pumpBody();
			waitForAcknowledgement();
		}
	}

	void accepted(RequestId admittedId) {
		this.acknowledged = true;
		this.unanswered = 0;
		this.parts = null;
		announce(admittedId);
		waitForAnswer();
	}

	void tokens(ForwardTokens piece) {
		if (piece.offset() > this.next) {
			askAgain();
			return;
		}
		if (piece.offset() == this.next && piece.tokens() > 0) {
			this.next += piece.tokens();
			if (this.seen != null) {
				this.seen.offer(piece.offset(), piece.tokens(), piece.text());
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
		if (done.tokens() > this.next) {
			askAgain();
			return;
		}
		close();
		this.caller.completed(
				new EngineUsage(done.promptTokens(), done.cachedTokens(), done.answerTokens(), done.finishReason()));
	}

	void replied(ForwardReply beginning) {
		this.reply = beginning;
		this.replyParts = new PartReceiver(beginning.bodyBytes());
		replyPart(0, beginning.firstPart());
	}

	void replyPart(int index, byte[] part) {
		if (this.replyParts == null || !this.replyParts.take(index, part)) {
			askAgain();
			return;
		}
		if (!this.replyParts.complete()) {
			send(new ForwardReplyCredit(this.number, this.replyParts.parts()));
			waitForAnswer();
			return;
		}
		close();
		this.caller.replied(new ServiceReply(this.reply.status(), this.reply.headers(), this.replyParts.whole()));
	}

	void failed(ForwardFailed failure) {
		if (failure.code() == ErrorCode.HOME_GONE) {
			homeLost();
			return;
		}
		close();
		this.caller.failed(failure.failure(home()));
	}

	private void announce(RequestId admittedId) {
		if (!this.announced) {
			this.announced = true;
			this.caller.admitted(admittedId);
		}
	}

	private void onSilence() {
		this.unanswered++;
		if (this.unanswered > MOST_UNANSWERED) {
			homeLost();
			return;
		}
		askAgain();
	}

	private void onDeadline() {
		if (this.ended) {
			return;
		}
		send(new ForwardDetach(this.number));
		close();
		Ran ran = (this.next > 0) ? Ran.YES : Ran.UNKNOWN;
		this.caller.failed(new ServingException(ErrorCode.DEADLINE_EXCEEDED, ran, Step.FORWARD, home(),
				"the request's time ran out while its home '" + home() + "' had not answered"));
	}

	private void askAgain() {
		send(new ForwardDetach(this.number));
		this.replyParts = null;
		this.characters = 0;
		if (!this.acknowledged) {
			sendWhole();
			return;
		}
		this.number = this.forwards.renumber(this);
		send(new ForwardResume(this.number, id().toString(), this.work.account().value(), this.next));
		waitForAcknowledgement();
	}

	private boolean sendWhole() {
		this.number = this.forwards.renumber(this);
		this.parts = new PartSender(this.work.body());
		waitForAcknowledgement();
		if (!send(this.work.message(this.number, this.deadline.leftAtHome(), this.parts))) {
			return false;
		}
		pumpBody();
		return true;
	}

	private void pumpBody() {
		this.parts.pump((part) -> send(new ForwardBody(this.number, part.index(), part.bytes())));
	}

	private void waitForAcknowledgement() {
		this.patience.start(this.forwards.settings().forwardAcknowledgement());
	}

	private void waitForAnswer() {
		this.unanswered = 0;
		this.patience.start(this.forwards.settings().streamSilence());
	}

	private boolean send(PeerMessage message) {
		return this.forwards.send(id().issuer(), message);
	}

	private String home() {
		return id().issuer().vm().toString();
	}

	private void close() {
		this.ended = true;
		this.patience.close();
		this.deadline.close();
		this.forwards.closed(this);
	}

}
