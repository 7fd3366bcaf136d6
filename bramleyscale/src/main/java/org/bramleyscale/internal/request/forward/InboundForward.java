package org.bramleyscale.internal.request.forward;

import java.time.Duration;

import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.AnswerPiece;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Sends a request's record from its home daemon to an entry daemon.
 *
 * <p>
 * Credit-based flow control bounds the data in flight to the entry daemon. Without it, a
 * caller that reads a long answer from its beginning would fill the connection's send
 * queue, and heartbeats and other answers queued behind it would be delayed or refused.
 * Invariant: pieces are sent in order, followed by the final message. Confined to the
 * scheduler's thread.
 */
final class InboundForward implements RecordReader {

	private static final int MAX_CHARS_IN_FLIGHT = 64 * 1024;

	private static final int MAX_PIECE_CHARS = 8 * 1024;

	private static final Duration SEND_RETRY_DELAY = Duration.ofMillis(200);

	private static final int MAX_FAILED_SENDS = 50;

	private static final Cancellable NO_OP = () -> {
	};

	private final InboundForwards forwards;

	private final Incarnation entry;

	private final long number;

	private final long offset;

	private Cancellable handle = NO_OP;

	private AnswerLog log;

	private int index;

	private long sentChars;

	private long creditedChars;

	private PeerMessage finalMessage;

	private PartSender replyParts;

	private int failedSends;

	private boolean sendScheduled;

	private boolean closed;

	InboundForward(InboundForwards forwards, Incarnation entry, long number, long offset) {
		this.forwards = forwards;
		this.entry = entry;
		this.number = number;
		this.offset = offset;
	}

	Incarnation entry() {
		return this.entry;
	}

	long number() {
		return this.number;
	}

	/**
	 * Sets the handle that detaches this reader from the record.
	 * @param attached the handle
	 */
	void attached(Cancellable attached) {
		this.handle = attached;
		if (this.closed) {
			attached.cancel();
		}
	}

	void detach() {
		close();
		this.handle.cancel();
	}

	void credit(long characters) {
		this.creditedChars = Math.max(this.creditedChars, characters);
		pump();
	}

	void replyCredit(int parts) {
		if (this.replyParts != null) {
			this.replyParts.acknowledged(parts);
			pump();
		}
	}

	@Override
	public void admitted(RequestId id) {
		send(new ForwardAccepted(this.number, id.toString()));
	}

	@Override
	public boolean begin(AnswerLog answer) {
		this.log = answer;
		this.index = (answer != null) ? answer.indexAt(this.offset) : 0;
		return this.index >= 0;
	}

	@Override
	public void answerExtended(AnswerLog answer) {
		pump();
	}

	@Override
	public void completed(AnswerLog answer, EngineUsage usage) {
		this.finalMessage = new ForwardDone(this.number, answer.next(), usage.promptTokens(), usage.cachedTokens(),
				usage.answerTokens(), usage.finishReason());
		pump();
	}

	@Override
	public void replied(ServiceReply reply) {
		this.replyParts = new PartSender(reply.body());
		this.finalMessage = new ForwardReply(this.number, reply.status(), reply.headers(), this.replyParts.length(),
				this.replyParts.first());
		pump();
	}

	@Override
	public void failed(ServingException failure) {
		this.finalMessage = ForwardFailed.of(this.number, failure);
		pump();
	}

	private void pump() {
		if (this.closed || this.sendScheduled) {
			return;
		}
		if (!pumpTokens()) {
			scheduleSend();
			return;
		}
		if (this.finalMessage != null && allTokensSent()) {
			if (!send(this.finalMessage)) {
				scheduleSend();
				return;
			}
			this.finalMessage = null;
			closeUnlessReplying();
		}
		if (this.finalMessage == null && this.replyParts != null) {
			pumpReply();
		}
	}

	private boolean pumpTokens() {
		while (!allTokensSent() && this.sentChars - this.creditedChars < MAX_CHARS_IN_FLIGHT) {
			int to = this.index + 1;
			while (to < this.log.pieces() && this.log.textLength(this.index, to + 1) <= MAX_PIECE_CHARS) {
				to++;
			}
			AnswerPiece piece = this.log.range(this.index, to);
			if (!send(new ForwardTokens(this.number, piece.offset(), piece.tokens(), piece.text()))) {
				return false;
			}
			this.index = to;
			this.sentChars += piece.text().length();
		}
		return true;
	}

	private void pumpReply() {
		boolean sent = this.replyParts
			.pump((part) -> send(new ForwardReplyPart(this.number, part.index(), part.bytes())));
		if (!sent) {
			scheduleSend();
			return;
		}
		closeUnlessReplying();
	}

	private void closeUnlessReplying() {
		if (this.replyParts == null || this.replyParts.allSent()) {
			close();
		}
	}

	private boolean allTokensSent() {
		return this.log == null || this.index >= this.log.pieces();
	}

	private void scheduleSend() {
		this.failedSends++;
		if (this.failedSends > MAX_FAILED_SENDS) {
			// The entry daemon retries under a new number once it is reachable.
			detach();
			return;
		}
		this.sendScheduled = true;
		this.forwards.scheduler().schedule(SEND_RETRY_DELAY, () -> {
			this.sendScheduled = false;
			pump();
		});
	}

	private boolean send(PeerMessage message) {
		return this.forwards.send(this.entry, message);
	}

	private void close() {
		this.closed = true;
		this.forwards.closed(this);
	}

}
