package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.internal.gateway.request.CallerReply;
import org.bramleyscale.internal.gateway.request.Header;

/**
 * A caller that records the answer it receives. Confined to the test's thread.
 */
public final class SimulatedCaller implements CallerReply {

	private String response = "";

	private Runnable onEnd = () -> {
	};

	private String reason = "";

	private Duration retryAfter = Duration.ZERO;

	public String response() {
		return this.response;
	}

	/**
	 * Returns why the request was refused.
	 * @return the reason, empty if it wasn't
	 */
	public String reason() {
		return this.reason;
	}

	public Duration retryAfter() {
		return this.retryAfter;
	}

	/**
	 * Whether the request was refused because it may crash endpoints, and not because no
	 * endpoint was available.
	 * @return true if it was refused as suspected
	 */
	public boolean suspected() {
		return this.reason.contains("endpoints end under");
	}

	@Override
	public void sendResponse(int status, List<Header> headers, byte[] body) {
		this.response += status;
		this.onEnd.run();
	}

	@Override
	public void sendOwnResponse(int status, String reason, Duration pause) {
		this.response += "own " + status;
		this.reason = reason;
		this.retryAfter = pause;
		this.onEnd.run();
	}

	@Override
	public void startStream(int status, List<Header> headers) {
		throw new UnsupportedOperationException();
	}

	@Override
	public boolean write(byte[] data) {
		throw new UnsupportedOperationException();
	}

	@Override
	public void onWritable(Runnable task) {
		throw new UnsupportedOperationException();
	}

	@Override
	public void onEnd(Runnable task) {
		// Each response is on the wire at once.
		this.onEnd = task;
	}

	@Override
	public void endStream() {
		throw new UnsupportedOperationException();
	}

	@Override
	public void abort() {
		throw new UnsupportedOperationException();
	}

}
