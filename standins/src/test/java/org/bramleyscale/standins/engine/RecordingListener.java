package org.bramleyscale.standins.engine;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Records the events of one attempt.
 */
final class RecordingListener implements EngineListener {

	private static final long PATIENCE_SECONDS = 20;

	final CompletableFuture<Void> accepted = new CompletableFuture<>();

	final CompletableFuture<EngineFrame> firstFrame = new CompletableFuture<>();

	final CompletableFuture<EngineUsage> completed = new CompletableFuture<>();

	final CompletableFuture<ServingException> failed = new CompletableFuture<>();

	private final StringBuilder text = new StringBuilder();

	static <T> T await(CompletableFuture<T> future) throws Exception {
		return future.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
	}

	synchronized String text() {
		return this.text.toString();
	}

	@Override
	public void accepted() {
		this.accepted.complete(null);
	}

	@Override
	public synchronized void frame(EngineFrame frame) {
		this.text.append(frame.text());
		this.firstFrame.complete(frame);
	}

	@Override
	public void completed(EngineUsage usage) {
		this.completed.complete(usage);
	}

	@Override
	public void failed(ServingException failure) {
		this.failed.complete(failure);
	}

}
