package org.bramleyscale.internal.http;

import java.util.function.Function;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.AnswerSink;
import ratpack.handling.Context;

/**
 * An answer sent to the caller as server-sent events, each batch of tokens as it comes.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class StreamedAnswer implements AnswerSink {

	private final Exchange exchange;

	private final Function<RequestId, AnswerFormat> formats;

	private final EventStream stream;

	private final EntryMetrics metrics;

	private final long firstOffset;

	private AnswerFormat format;

	/**
	 * Creates an answer that hasn't begun.
	 * @param exchange the call
	 * @param formats writes the answer to a request
	 * @param settings the limits
	 * @param metrics counts failures
	 * @param firstOffset the offset of the first token to come
	 */
	StreamedAnswer(Exchange exchange, Function<RequestId, AnswerFormat> formats, EntrySettings settings,
			EntryMetrics metrics, long firstOffset) {
		this.exchange = exchange;
		this.formats = formats;
		this.stream = new EventStream(exchange.channel(), settings.streamBufferBytes());
		this.metrics = metrics;
		this.firstOffset = firstOffset;
	}

	@Override
	public void admitted(RequestId id) {
		if (this.format != null) {
			return;
		}
		this.format = this.formats.apply(id);
		this.stream.send(this.format.first(this.firstOffset));
		this.exchange.reply((context) -> begin(context, id));
	}

	private void begin(Context context, RequestId id) {
		context.getResponse()
			.contentType("text/event-stream;charset=UTF-8")
			.getHeaders()
			.set(CallOptions.REQUEST_ID, id.toString())
			.set("Cache-Control", "no-store");
		context.getResponse().sendStream(this.stream);
	}

	@Override
	public void tokens(long offset, int tokens, String text) {
		if (!this.stream.send(this.format.tokens(offset, tokens, text))) {
			this.metrics.readerLost();
			this.exchange.callerGone();
		}
	}

	@Override
	public void completed(EngineUsage usage) {
		this.stream.send(this.format.last(usage));
		finish();
	}

	@Override
	public void failed(ServingException failure) {
		this.metrics.failed(failure);
		if (this.format == null) {
			this.exchange.fail(failure);
			return;
		}
		this.stream.send(AnswerFormat.failed(failure));
		finish();
	}

	/**
	 * Sends a comment, so that both ends notice a connection that went silent.
	 */
	void keepAlive() {
		if (this.format != null) {
			this.stream.send(AnswerFormat.keepAlive());
		}
	}

	private void finish() {
		this.stream.end();
		this.exchange.finished();
	}

}
