package org.bramleyscale.internal.request.attempt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.Offer;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One generation at one engine, read over as many connections as it takes.
 *
 * <p>
 * An open connection may go silent for good without an error, because something between
 * the two ends has lost track of it. One would notice a stream that stops in mid-answer
 * until the deadline. Therefore a silent connection is not trusted: the answer is resumed
 * at the missing offset on a new connection beside it, and the old one is closed once the
 * new one brings something. The work itself is sent to the engine once only.
 *
 * <p>
 * Invariants: only frames of this request and attempt reach the log; after the end or
 * {@link #close()} the owner hears of late frames only. Confined to the scheduler's
 * thread.
 */
public final class GenerationAttempt {

	private static final int EARLY_FRAMES = 256;

	private final Scheduler scheduler;

	private final EngineClient client;

	private final AttemptLimits limits;

	private final EndpointEntry endpoint;

	private final EngineRequest request;

	private final AnswerLog log;

	private final AttemptOwner owner;

	private final Duration firstTokenPatience;

	private final List<EngineConnection> open = new ArrayList<>();

	private final TreeMap<Long, EngineFrame> early = new TreeMap<>();

	private final ResettableTimer silence;

	private final ResettableTimer gap;

	private EngineConnection newest;

	private int resumesWithoutProgress;

	private boolean accepted;

	private boolean streaming;

	private boolean closed;

	/**
	 * Prepares an attempt; {@link #start()} sends it.
	 * @param scheduler the scheduler
	 * @param client calls the engine
	 * @param limits how patient to be
	 * @param endpoint the engine
	 * @param request what to generate
	 * @param predictedFirstToken when the first token is expected
	 * @param log takes the answer
	 * @param owner hears what becomes of it
	 */
	public GenerationAttempt(Scheduler scheduler, EngineClient client, AttemptLimits limits, EndpointEntry endpoint,
			EngineRequest request, Duration predictedFirstToken, AnswerLog log, AttemptOwner owner) {
		this.scheduler = scheduler;
		this.client = client;
		this.limits = limits;
		this.endpoint = endpoint;
		this.request = request;
		this.log = log;
		this.owner = owner;
		this.firstTokenPatience = predictedFirstToken.plus(limits.silence());
		this.silence = new ResettableTimer(scheduler, this::onSilence);
		this.gap = new ResettableTimer(scheduler, this::onGap);
	}

	public void start() {
		EngineConnection connection = new EngineConnection(this, false);
		opened(connection);
		connection.handle(this.client.generate(this.endpoint, this.request, connection));
	}

	public EndpointEntry endpoint() {
		return this.endpoint;
	}

	public int number() {
		return this.request.attempt();
	}

	/**
	 * Closes all connections; the engine is not told.
	 */
	public void close() {
		this.closed = true;
		this.silence.close();
		this.gap.close();
		List.copyOf(this.open).forEach(EngineConnection::close);
		this.open.clear();
	}

	void accepted(EngineConnection connection) {
		if (this.closed) {
			return;
		}
		this.accepted = true;
		if (connection.resuming() && !this.streaming) {
			// The engine knows the attempt and still computes the prompt, so the silence
			// had a good reason.
			this.resumesWithoutProgress = 0;
			closeAllBut(connection);
		}
		watchSilence();
	}

	void frame(EngineConnection connection, EngineFrame frame) {
		if (this.closed || frame.attempt() != this.request.attempt() || !frame.id().equals(this.request.id())) {
			this.owner.lateFrame();
			return;
		}
		this.accepted = true;
		Offer offer = this.log.offer(frame.offset(), frame.tokens(), frame.text());
		switch (offer) {
			case ADDED -> progress(connection);
			case GAP -> missing(frame);
			default -> this.owner.lateFrame();
		}
	}

	void completed(EngineConnection connection, EngineUsage usage) {
		this.open.remove(connection);
		if (this.closed) {
			return;
		}
		if (usage.answerTokens() > this.log.next()) {
			// The end arrived before all tokens did: passing it on would give the caller
			// a shortened answer that looks whole.
			resume();
			return;
		}
		close();
		this.owner.completed(usage);
	}

	void failed(EngineConnection connection, ServingException failure) {
		this.open.remove(connection);
		if (this.closed || connection != this.newest) {
			return;
		}
		if (!connection.resuming() && !this.accepted && failure.ran() == Ran.NO) {
			lose(failure);
			return;
		}
		if (Failures.definitive(failure.code())) {
			lose(failure);
			return;
		}
		boolean forgotten = connection.resuming() && failure.code() == ErrorCode.UNKNOWN_REQUEST;
		if (forgotten || this.resumesWithoutProgress >= this.limits.resumes()) {
			lose(failure("can't continue the answer: " + failure.getMessage()));
			return;
		}
		Duration pause = this.limits.resumePause().multipliedBy(this.resumesWithoutProgress);
		this.silence.stop();
		this.gap.start(pause);
	}

	private void progress(EngineConnection connection) {
		this.streaming = true;
		this.resumesWithoutProgress = 0;
		drainEarly();
		closeAllBut(connection);
		if (this.early.isEmpty()) {
			this.gap.stop();
		}
		watchSilence();
		this.owner.grew();
		if (!this.closed && this.log.textLength() > this.limits.answerChars()) {
			lose(failure("sent more than " + this.limits.answerChars() + " characters"));
		}
	}

	private void drainEarly() {
		while (!this.early.isEmpty() && this.early.firstKey() <= this.log.next()) {
			EngineFrame frame = this.early.pollFirstEntry().getValue();
			this.log.offer(frame.offset(), frame.tokens(), frame.text());
		}
	}

	private void missing(EngineFrame frame) {
		if (this.early.size() < EARLY_FRAMES) {
			this.early.put(frame.offset(), frame);
		}
		if (!this.gap.running()) {
			this.gap.start(this.limits.gap());
		}
	}

	private void onGap() {
		resume();
	}

	private void onSilence() {
		resume();
	}

	private void resume() {
		if (this.resumesWithoutProgress >= this.limits.resumes()) {
			lose(failure("sent nothing over " + this.resumesWithoutProgress + " connections"));
			return;
		}
		this.resumesWithoutProgress++;
		this.owner.resumed();
		EngineConnection connection = new EngineConnection(this, true);
		opened(connection);
		connection.handle(this.client.resume(this.endpoint, this.request.id(), this.request.attempt(), this.log.next(),
				connection));
	}

	private void opened(EngineConnection connection) {
		this.newest = connection;
		this.open.add(connection);
		this.silence.start(this.limits.silence());
	}

	private void watchSilence() {
		this.silence.start((this.streaming) ? this.limits.silence() : this.firstTokenPatience);
	}

	private void closeAllBut(EngineConnection kept) {
		if (this.open.size() <= 1) {
			return;
		}
		for (EngineConnection connection : List.copyOf(this.open)) {
			if (connection != kept) {
				connection.close();
			}
		}
		this.open.retainAll(List.of(kept));
		this.newest = kept;
	}

	private void lose(ServingException failure) {
		close();
		this.owner.lost(failure);
	}

	private ServingException failure(String what) {
		String peer = this.endpoint.name().toString();
		Step step = (this.streaming) ? Step.STREAM : Step.START;
		return new ServingException(ErrorCode.ENDPOINT_FAILED, ran(), step, peer, "endpoint '" + peer + "' " + what);
	}

	private Ran ran() {
		return (this.streaming) ? Ran.YES : Ran.UNKNOWN;
	}

}
