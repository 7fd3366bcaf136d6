package org.bramleyscale.internal.gateway.region;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.internal.gateway.request.CallerReply;
import org.bramleyscale.internal.gateway.request.Header;

/**
 * A caller that records how its request ended. Confined to the test's thread.
 */
final class RecordingCaller implements CallerReply {

	/** The status and, for a refusal, the reason; empty while the request runs. */
	String outcome = "";

	private Runnable onEnd = () -> {
	};

	@Override
	public void sendResponse(int status, List<Header> headers, byte[] body) {
		this.outcome = String.valueOf(status);
		this.onEnd.run();
	}

	@Override
	public void sendOwnResponse(int status, String reason, Duration retryAfter) {
		this.outcome = status + " " + reason;
		this.onEnd.run();
	}

	@Override
	public void startStream(int status, List<Header> headers) {
		// The outcome is known at the end of the stream.
	}

	@Override
	public boolean write(byte[] data) {
		return true;
	}

	@Override
	public void onWritable(Runnable task) {
		// This caller always reads.
	}

	@Override
	public void onEnd(Runnable task) {
		// Each response is on the wire at once.
		this.onEnd = task;
	}

	@Override
	public void endStream() {
		this.outcome = "200";
		this.onEnd.run();
	}

	@Override
	public void abort() {
		this.outcome = "aborted";
		this.onEnd.run();
	}

}
