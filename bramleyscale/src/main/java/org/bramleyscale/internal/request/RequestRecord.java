package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.common.hash.HashCode;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.request.life.RequestLife;
import org.bramleyscale.internal.time.Cancellable;
import org.jboss.logging.Logger;

/**
 * The state of a request at its home daemon.
 *
 * <p>
 * Invariants: readers are notified of the end exactly once; when the request ends, its
 * prompt or body is dropped and only the answer is kept. Not safe for use by multiple
 * threads.
 */
final class RequestRecord {

	private static final Logger logger = Logger.getLogger(RequestRecord.class);

	private static final long FIXED_BYTES = 800;

	private static final Cancellable NO_OP = () -> {
	};

	private final RequestId id;

	private final ClientAccountId account;

	private final ServiceName service;

	private final boolean repeatable;

	private final HashCode fingerprint;

	private final long receivedAt;

	private final long deadline;

	private final RequestLife life;

	private final AnswerLog log;

	private Work work;

	private Placement placement;

	private int attempts;

	private RunningAttempt running;

	private boolean dispatched;

	private List<RecordReader> readers = List.of();

	private Cancellable deadlineTimer = NO_OP;

	private Cancellable orphanTimer = NO_OP;

	private EngineUsage usage;

	private ServiceReply reply;

	private ServingException failure;

	RequestRecord(RequestId id, Work work, RequestLife life, AnswerLog log, long now, int attempts) {
		this.id = id;
		this.work = work;
		this.account = work.account();
		this.service = work.service();
		this.repeatable = work.repeatable();
		this.fingerprint = work.fingerprint();
		this.receivedAt = now;
		this.deadline = now + work.timeLeft().toNanos();
		this.life = life;
		this.log = log;
		this.attempts = attempts;
	}

	RequestId id() {
		return this.id;
	}

	ClientAccountId account() {
		return this.account;
	}

	ServiceName service() {
		return this.service;
	}

	boolean repeatable() {
		return this.repeatable;
	}

	HashCode fingerprint() {
		return this.fingerprint;
	}

	long receivedAt() {
		return this.receivedAt;
	}

	long deadline() {
		return this.deadline;
	}

	RequestLife life() {
		return this.life;
	}

	/**
	 * Returns the answer received so far.
	 * @return the answer, or null for a call to a plain service
	 */
	AnswerLog log() {
		return this.log;
	}

	Work work() {
		return this.work;
	}

	Placement placement() {
		return this.placement;
	}

	void placement(Placement planned) {
		this.placement = planned;
	}

	int attempts() {
		return this.attempts;
	}

	int nextAttempt() {
		this.attempts++;
		return this.attempts;
	}

	/**
	 * Whether the request has left the admission queue.
	 * @return true from its first dispatch on
	 */
	boolean dispatched() {
		return this.dispatched;
	}

	void markDispatched() {
		this.dispatched = true;
	}

	Optional<RunningAttempt> running() {
		return Optional.ofNullable(this.running);
	}

	void running(RunningAttempt attempt) {
		this.running = attempt;
	}

	void deadlineTimer(Cancellable timer) {
		this.deadlineTimer = timer;
	}

	void orphanTimer(Cancellable timer) {
		this.orphanTimer.cancel();
		this.orphanTimer = timer;
	}

	boolean hasNoReaders() {
		return this.readers.isEmpty();
	}

	int readers() {
		return this.readers.size();
	}

	void add(RecordReader reader) {
		List<RecordReader> more = new ArrayList<>(this.readers);
		more.add(reader);
		this.readers = more;
	}

	void remove(RecordReader reader) {
		List<RecordReader> fewer = new ArrayList<>(this.readers);
		fewer.remove(reader);
		this.readers = fewer;
	}

	void notifyAnswerExtended() {
		notifyReaders((reader) -> reader.answerExtended(this.log));
	}

	void endCompleted(EngineUsage used) {
		this.usage = used;
		close();
	}

	void endReplied(ServiceReply answer) {
		this.reply = answer;
		close();
	}

	void endFailed(ServingException ending) {
		this.failure = ending;
		close();
	}

	/**
	 * Notifies all readers of the end. The end must be set before.
	 */
	void notifyEnd() {
		notifyReaders(this::notifyEnd);
		this.readers = List.of();
	}

	/**
	 * Sends the whole answer and the end to a reader.
	 * @param reader the reader
	 */
	void replay(RecordReader reader) {
		if (this.log != null) {
			reader.answerExtended(this.log);
		}
		notifyEnd(reader);
	}

	long bytes() {
		long answer = (this.log != null) ? this.log.bytes() : 0;
		return FIXED_BYTES + answer + ((this.reply != null) ? this.reply.body().length : 0);
	}

	private void close() {
		this.deadlineTimer.cancel();
		this.orphanTimer.cancel();
		this.work = null;
		this.placement = null;
		this.running = null;
		if (this.log != null) {
			this.log.trim();
		}
	}

	private void notifyEnd(RecordReader reader) {
		if (this.failure != null) {
			reader.failed(this.failure);
		}
		else if (this.reply != null) {
			reader.replied(this.reply);
		}
		else {
			reader.completed(this.log, this.usage);
		}
	}

	private void notifyReaders(Consumer<RecordReader> event) {
		for (RecordReader reader : this.readers) {
			try {
				event.accept(reader);
			}
			catch (RuntimeException ex) {
				// A failing reader must not prevent delivery to the others.
				logger.errorf(ex, "Reader of request %s failed", this.id);
			}
		}
	}

}
