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
 * An entry that reads a request's record at its home.
 *
 * <p>
 * The entry's credit bounds what is under way to it. Without that a caller that reads a
 * long answer from its beginning would fill the connection's queue with it, and
 * heartbeats and other answers behind it would be late or refused. Invariant: pieces are
 * sent in order, then the end. Confined to the scheduler's thread.
 */
final class InboundForward implements RecordReader {

	private static final int MOST_CHARS_UNDER_WAY = 64 * 1024;

	private static final int PIECE_CHARS = 8 * 1024;

	private static final Duration SEND_PAUSE = Duration.ofMillis(200);

	private static final int MOST_FAILED_SENDS = 50;

	private static final Cancellable NOTHING = () -> {
	};

	private final InboundForwards forwards;

	private final Incarnation entry;

	private final long number;

	private final long offset;

	private Cancellable handle = NOTHING;

	private AnswerLog log;

	private int index;

	private long sentChars;

	private long creditedChars;

	private PeerMessage end;

	private PartSender replyParts;

	private int failedSends;

	private boolean waitingToSend;

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
	 * Keeps what takes this reader away from the record.
	 * @param attached takes it away
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
			this.replyParts.taken(parts);
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
	public void grew(AnswerLog answer) {
		pump();
	}

	@Override
	public void completed(AnswerLog answer, EngineUsage usage) {
		this.end = new ForwardDone(this.number, answer.next(), usage.promptTokens(), usage.cachedTokens(),
				usage.answerTokens(), usage.finishReason());
		pump();
	}

	@Override
	public void replied(ServiceReply reply) {
		this.replyParts = new PartSender(reply.body());
		this.end = new ForwardReply(this.number, reply.status(), reply.headers(), this.replyParts.length(),
				this.replyParts.first());
		pump();
	}

	@Override
	public void failed(ServingException failure) {
		this.end = ForwardFailed.of(this.number, failure);
		pump();
	}

	private void pump() {
		if (this.closed || this.waitingToSend) {
			return;
		}
		if (!pumpTokens()) {
			sendLater();
			return;
		}
		if (this.end != null && drained()) {
			if (!send(this.end)) {
				sendLater();
				return;
			}
			this.end = null;
			closeUnlessReplying();
		}
		if (this.end == null && this.replyParts != null) {
			pumpReply();
		}
	}

	private boolean pumpTokens() {
		while (!drained() && this.sentChars - this.creditedChars < MOST_CHARS_UNDER_WAY) {
			int to = this.index + 1;
			while (to < this.log.pieces() && this.log.textLength(this.index, to + 1) <= PIECE_CHARS) {
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
			sendLater();
			return;
		}
		closeUnlessReplying();
	}

	private void closeUnlessReplying() {
		if (this.replyParts == null || this.replyParts.allSent()) {
			close();
		}
	}

	private boolean drained() {
		return this.log == null || this.index >= this.log.pieces();
	}

	private void sendLater() {
		this.failedSends++;
		if (this.failedSends > MOST_FAILED_SENDS) {
			// The entry asks again under another number once it can be reached.
			detach();
			return;
		}
		this.waitingToSend = true;
		this.forwards.scheduler().schedule(SEND_PAUSE, () -> {
			this.waitingToSend = false;
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
