package org.bramleyscale.internal.request.attempt;

import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.time.Cancellable;

/**
 * One of the connections over which an attempt's answer is read.
 *
 * <p>
 * Invariant: the call is cancelled once this is closed, even if the client calls back
 * before it returns the handle. Confined to the scheduler's thread.
 */
final class EngineConnection implements EngineListener {

	private final GenerationAttempt attempt;

	private final boolean resuming;

	private Cancellable handle;

	private boolean closed;

	EngineConnection(GenerationAttempt attempt, boolean resuming) {
		this.attempt = attempt;
		this.resuming = resuming;
	}

	boolean resuming() {
		return this.resuming;
	}

	void handle(Cancellable opened) {
		this.handle = opened;
		if (this.closed) {
			opened.cancel();
		}
	}

	void close() {
		this.closed = true;
		if (this.handle != null) {
			this.handle.cancel();
		}
	}

	@Override
	public void accepted() {
		this.attempt.accepted(this);
	}

	@Override
	public void frame(EngineFrame frame) {
		this.attempt.frame(this, frame);
	}

	@Override
	public void completed(EngineUsage usage) {
		this.attempt.completed(this, usage);
	}

	@Override
	public void failed(ServingException failure) {
		this.attempt.failed(this, failure);
	}

}
