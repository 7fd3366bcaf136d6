package org.bramleyscale.standins.engine;

import java.time.Duration;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The answer of one attempt on its way from an engine to a daemon.
 *
 * <p>
 * Invariant: the daemon's listener hears one end and nothing after it, and nothing after
 * {@link #cancel()}. Confined to the thread that the schedulers share.
 */
final class InMemoryStream implements AttemptListener, Cancellable {

	private final EngineListener listener;

	private final RequestId id;

	private final int attempt;

	private final Step firstStep;

	private final InMemoryEndpoint endpoint;

	private final InMemoryEndpoints.Observer observer;

	private InMemoryConnection connection;

	private Cancellable timer = () -> {
	};

	private boolean accepted;

	private boolean ended;

	InMemoryStream(InMemoryEndpoint endpoint, InMemoryEndpoints.Observer observer, RequestId id, int attempt,
			Step firstStep, EngineListener listener) {
		this.endpoint = endpoint;
		this.observer = observer;
		this.id = id;
		this.attempt = attempt;
		this.firstStep = firstStep;
		this.listener = listener;
	}

	void connection(InMemoryConnection newConnection) {
		this.connection = newConnection;
	}

	void limit(Scheduler scheduler, Duration timeLeft) {
		this.timer = scheduler.schedule(timeLeft,
				() -> fail(failure(ErrorCode.DEADLINE_EXCEEDED, ranIfUnanswered(), "no complete answer in time")));
	}

	/**
	 * Ends the attempt without a connection.
	 */
	void refuseForTime() {
		fail(failure(ErrorCode.DEADLINE_EXCEEDED, Ran.NO, "no time was left to start"));
	}

	@Override
	public void cancel() {
		end();
	}

	/**
	 * Takes the end of the connection.
	 * @param connected whether there ever was one
	 */
	void broken(boolean connected) {
		if (connected) {
			fail(failure(ErrorCode.ENDPOINT_FAILED, ranIfUnanswered(), "the connection was cut"));
		}
		else {
			fail(new ServingException(ErrorCode.ENDPOINT_FAILED, Ran.NO, Step.CONNECT, this.endpoint.name().value(),
					"can't connect"));
		}
	}

	@Override
	public void accepted() {
		this.connection.reply(() -> {
			if (!this.ended && !this.accepted) {
				this.accepted = true;
				this.listener.accepted();
			}
		});
	}

	@Override
	public void frame(long offset, int tokens, String text) {
		this.observer.worked(this.endpoint.name(), this.id.toString());
		EngineFrame frame = new EngineFrame(this.id, this.attempt, offset, tokens, text);
		this.connection.reply(() -> {
			if (!this.ended) {
				this.listener.frame(frame);
			}
		});
	}

	@Override
	public void done(EngineUsage usage) {
		this.connection.reply(() -> {
			if (!this.ended) {
				end();
				this.listener.completed(usage);
			}
		});
	}

	@Override
	public void failed(ErrorCode code, Ran ran, String message) {
		this.connection.reply(() -> fail(failure(code, ran, message)));
	}

	private void fail(ServingException failure) {
		if (!this.ended) {
			end();
			this.listener.failed(failure);
		}
	}

	private void end() {
		this.ended = true;
		this.timer.cancel();
		if (this.connection != null) {
			this.connection.close();
		}
	}

	private ServingException failure(ErrorCode code, Ran ran, String message) {
		return new ServingException(code, ran, this.accepted ? Step.STREAM : this.firstStep,
				this.endpoint.name().value(), message);
	}

	private Ran ranIfUnanswered() {
		return this.accepted ? Ran.YES : Ran.UNKNOWN;
	}

}
