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
import org.bramleyscale.internal.request.answer.OfferResult;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One attempt to generate an answer at one engine, resumed over further connections when
 * necessary.
 *
 * <p>
 * An open connection may stop delivering data without an error when an intermediary has
 * dropped the connection's state. The stream would then stall in mid-answer until the
 * deadline. Therefore, after a silence timeout the answer is resumed at the next missing
 * offset on an additional connection, and the old one is closed once the new one makes
 * progress. The request itself is sent to the engine only once.
 *
 * <p>
 * Invariants: only frames of this request and attempt are added to the log; after the end
 * or {@link #close()} the owner is notified of late frames only. Confined to the
 * scheduler's thread.
 */
public final class GenerationAttempt {

	private static final int MAX_OUT_OF_ORDER_FRAMES = 256;

	private final Scheduler scheduler;

	private final EngineClient client;

	private final AttemptLimits limits;

	private final EndpointEntry endpoint;

	private final EngineRequest request;

	private final AnswerLog log;

	private final AttemptOwner owner;

	private final Duration firstTokenTimeout;

	private final List<EngineConnection> open = new ArrayList<>();

	private final TreeMap<Long, EngineFrame> outOfOrder = new TreeMap<>();

	private final ResettableTimer silenceTimer;

	private final ResettableTimer gapTimer;

	private EngineConnection newest;

	private int resumesWithoutProgress;

	private boolean accepted;

	private boolean streaming;

	private boolean closed;

	/**
	 * Prepares an attempt; {@link #start()} sends it.
	 * @param scheduler the scheduler
	 * @param client calls the engine
	 * @param limits the timeouts and bounds
	 * @param endpoint the engine
	 * @param request the engine request
	 * @param predictedFirstToken the predicted time to the first token
	 * @param log the log to which the answer is added
	 * @param owner receives the events of the attempt
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
		this.firstTokenTimeout = predictedFirstToken.plus(limits.silence());
		this.silenceTimer = new ResettableTimer(scheduler, this::onSilenceTimeout);
		this.gapTimer = new ResettableTimer(scheduler, this::onGapTimeout);
	}

	public void start() {
		EngineConnection connection = new EngineConnection(this, false);
		register(connection);
		connection.handle(this.client.generate(this.endpoint, this.request, connection));
	}

	public EndpointEntry endpoint() {
		return this.endpoint;
	}

	public int number() {
		return this.request.attempt();
	}

	/**
	 * Closes all connections without cancelling the attempt at the engine.
	 */
	public void close() {
		this.closed = true;
		this.silenceTimer.close();
		this.gapTimer.close();
		List.copyOf(this.open).forEach(EngineConnection::close);
		this.open.clear();
	}

	void accepted(EngineConnection connection) {
		if (this.closed) {
			return;
		}
		this.accepted = true;
		if (connection.resuming() && !this.streaming) {
			// The engine knows the attempt and is still in prefill, which explains the
			// silence.
			this.resumesWithoutProgress = 0;
			closeOthers(connection);
		}
		restartSilenceTimer();
	}

	void frame(EngineConnection connection, EngineFrame frame) {
		if (this.closed || frame.attempt() != this.request.attempt() || !frame.id().equals(this.request.id())) {
			this.owner.lateFrame();
			return;
		}
		this.accepted = true;
		OfferResult offer = this.log.offer(frame.offset(), frame.tokens(), frame.text());
		switch (offer) {
			case ADDED -> progress(connection);
			case GAP -> bufferOutOfOrder(frame);
			default -> this.owner.lateFrame();
		}
	}

	void completed(EngineConnection connection, EngineUsage usage) {
		this.open.remove(connection);
		if (this.closed) {
			return;
		}
		if (usage.answerTokens() > this.log.next()) {
			// The end arrived before all tokens did. Completing now would deliver a
			// truncated answer that looks complete.
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
			abandon(failure);
			return;
		}
		if (Failures.definitive(failure.code())) {
			abandon(failure);
			return;
		}
		boolean unknownToEngine = connection.resuming() && failure.code() == ErrorCode.UNKNOWN_REQUEST;
		if (unknownToEngine || this.resumesWithoutProgress >= this.limits.resumes()) {
			abandon(failure("can't resume the answer: " + failure.getMessage()));
			return;
		}
		Duration pause = this.limits.resumePause().multipliedBy(this.resumesWithoutProgress);
		this.silenceTimer.stop();
		this.gapTimer.start(pause);
	}

	private void progress(EngineConnection connection) {
		this.streaming = true;
		this.resumesWithoutProgress = 0;
		appendOutOfOrder();
		closeOthers(connection);
		if (this.outOfOrder.isEmpty()) {
			this.gapTimer.stop();
		}
		restartSilenceTimer();
		this.owner.answerExtended();
		if (!this.closed && this.log.textLength() > this.limits.answerChars()) {
			abandon(failure("exceeded the maximum answer length of " + this.limits.answerChars() + " characters"));
		}
	}

	private void appendOutOfOrder() {
		while (!this.outOfOrder.isEmpty() && this.outOfOrder.firstKey() <= this.log.next()) {
			EngineFrame frame = this.outOfOrder.pollFirstEntry().getValue();
			this.log.offer(frame.offset(), frame.tokens(), frame.text());
		}
	}

	private void bufferOutOfOrder(EngineFrame frame) {
		if (this.outOfOrder.size() < MAX_OUT_OF_ORDER_FRAMES) {
			this.outOfOrder.put(frame.offset(), frame);
		}
		if (!this.gapTimer.running()) {
			this.gapTimer.start(this.limits.gap());
		}
	}

	private void onGapTimeout() {
		resume();
	}

	private void onSilenceTimeout() {
		resume();
	}

	private void resume() {
		if (this.resumesWithoutProgress >= this.limits.resumes()) {
			abandon(failure("sent nothing over " + this.resumesWithoutProgress + " connections"));
			return;
		}
		this.resumesWithoutProgress++;
		this.owner.resumed();
		EngineConnection connection = new EngineConnection(this, true);
		register(connection);
		connection.handle(this.client.resume(this.endpoint, this.request.id(), this.request.attempt(), this.log.next(),
				connection));
	}

	private void register(EngineConnection connection) {
		this.newest = connection;
		this.open.add(connection);
		this.silenceTimer.start(this.limits.silence());
	}

	private void restartSilenceTimer() {
		this.silenceTimer.start((this.streaming) ? this.limits.silence() : this.firstTokenTimeout);
	}

	private void closeOthers(EngineConnection kept) {
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

	private void abandon(ServingException failure) {
		close();
		this.owner.lost(failure);
	}

	private ServingException failure(String problem) {
		String peer = this.endpoint.name().toString();
		Step step = (this.streaming) ? Step.STREAM : Step.START;
		return new ServingException(ErrorCode.ENDPOINT_FAILED, ran(), step, peer, "endpoint '" + peer + "' " + problem);
	}

	private Ran ran() {
		return (this.streaming) ? Ran.YES : Ran.UNKNOWN;
	}

}
