package org.bramleyscale.internal.gateway.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/**
 * A caller that records its response.
 */
final class RecordingCaller implements CallerReply {

	final StringBuilder received = new StringBuilder();

	Duration retryAfter = Duration.ZERO;

	String reason = "";

	HandledRequest request;

	private final ReplyState state = new ReplyState();

	private Runnable onEnd = () -> {
	};

	@Override
	public void sendResponse(int status, List<Header> headers, byte[] body) {
		take(ReplyState.Step.RESPOND);
		this.received.append(status).append(' ').append(new String(body, StandardCharsets.UTF_8));
	}

	@Override
	public void sendOwnResponse(int status, String reason, Duration retryAfter) {
		take(ReplyState.Step.RESPOND);
		this.received.append("own ").append(status);
		this.retryAfter = retryAfter;
		this.reason = reason;
	}

	@Override
	public void startStream(int status, List<Header> headers) {
		take(ReplyState.Step.START);
		this.received.append("begin").append(headers.isEmpty() ? "" : " " + headers.get(0).value());
	}

	@Override
	public boolean write(byte[] data) {
		take(ReplyState.Step.WRITE);
		String event = new String(data, StandardCharsets.UTF_8);
		this.received.append(' ').append(event.startsWith("id: ") ? event.substring(4, event.indexOf('\n')) : event);
		return true;
	}

	@Override
	public void onWritable(Runnable task) {
		// This caller always reads.
	}

	@Override
	public void onEnd(Runnable task) {
		this.onEnd = task;
	}

	@Override
	public void endStream() {
		take(ReplyState.Step.COMPLETE);
		this.received.append(" end");
	}

	@Override
	public void abort() {
		if (this.state.take(ReplyState.Step.ABORT) == ReplyState.Result.TAKEN) {
			this.received.append(" abort");
			this.onEnd.run();
		}
	}

	/** Whether the response is on the wire or aborted. */
	boolean ended() {
		return this.state.ended();
	}

	/** Whether the whole response was sent and may be on its way. */
	boolean handedOver() {
		return !this.state.ended() && this.received.toString().matches("(?s)(own|\\d{3}) .*|.* end");
	}

	/** The last byte of the response is on the wire. */
	void flush() {
		take(ReplyState.Step.FLUSH);
		this.onEnd.run();
	}

	private void take(ReplyState.Step step) {
		ReplyState.Result result = this.state.take(step);
		if (result != ReplyState.Result.TAKEN) {
			this.received.append(' ').append(result).append(' ').append(step).append(' ');
		}
	}

}
