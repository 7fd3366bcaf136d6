package org.bramleyscale.internal.http;

import java.util.function.Function;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.AnswerSink;
import ratpack.handling.Context;

/**
 * An answer collected and sent to the caller in one piece.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class WholeAnswer implements AnswerSink {

	private final Exchange exchange;

	private final Function<RequestId, AnswerFormat> formats;

	private final EntryMetrics metrics;

	private final StringBuilder text = new StringBuilder();

	private RequestId id;

	WholeAnswer(Exchange exchange, Function<RequestId, AnswerFormat> formats, EntryMetrics metrics) {
		this.exchange = exchange;
		this.formats = formats;
		this.metrics = metrics;
	}

	@Override
	public void admitted(RequestId newId) {
		this.id = newId;
	}

	@Override
	public void tokens(long offset, int tokens, String more) {
		this.text.append(more);
	}

	@Override
	public void completed(EngineUsage usage) {
		byte[] body = this.formats.apply(this.id).whole(this.text, usage);
		RequestId answered = this.id;
		this.exchange.finished();
		this.exchange.reply((context) -> send(context, answered, body));
	}

	@Override
	public void failed(ServingException failure) {
		this.metrics.failed(failure);
		RequestId answered = this.id;
		this.exchange.finished();
		this.exchange.reply((context) -> {
			if (answered != null) {
				context.getResponse().getHeaders().set(CallOptions.REQUEST_ID, answered.toString());
			}
			ErrorBody.send(context, failure);
		});
	}

	private static void send(Context context, RequestId id, byte[] body) {
		context.getResponse().getHeaders().set(CallOptions.REQUEST_ID, id.toString());
		context.getResponse().send(ErrorBody.JSON, body);
	}

}
