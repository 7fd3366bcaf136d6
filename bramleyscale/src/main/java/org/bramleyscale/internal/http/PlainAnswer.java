package org.bramleyscale.internal.http;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.PlainSink;
import ratpack.handling.Context;

/**
 * A plain service's answer on its way to the caller.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class PlainAnswer implements PlainSink {

	private final Exchange exchange;

	private final EntryMetrics metrics;

	private RequestId id;

	PlainAnswer(Exchange exchange, EntryMetrics metrics) {
		this.exchange = exchange;
		this.metrics = metrics;
	}

	@Override
	public void admitted(RequestId newId) {
		this.id = newId;
	}

	@Override
	public void completed(ServiceReply reply) {
		RequestId answered = this.id;
		this.exchange.finished();
		this.exchange.reply((context) -> send(context, answered, reply));
	}

	@Override
	public void failed(ServingException failure) {
		this.metrics.failed(failure);
		RequestId answered = this.id;
		this.exchange.finished();
		this.exchange.reply((context) -> {
			tellId(context, answered);
			ErrorBody.send(context, failure);
		});
	}

	private static void send(Context context, RequestId id, ServiceReply reply) {
		reply.headers().forEach((name, value) -> context.getResponse().getHeaders().set(name, value));
		tellId(context, id);
		context.getResponse().status(reply.status()).send(reply.body());
	}

	private static void tellId(Context context, RequestId id) {
		if (id != null) {
			context.getResponse().getHeaders().set(CallOptions.REQUEST_ID, id.toString());
		}
	}

}
