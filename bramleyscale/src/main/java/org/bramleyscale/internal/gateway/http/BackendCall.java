package org.bramleyscale.internal.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.ExchangeTrace;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * One request to an endpoint and the response to it.
 *
 * <p>
 * Invariant: the listener isn't called after {@link #cancel} or after its last call.
 * Confined to the loop's thread.
 */
final class BackendCall implements BackendClient.BackendExchange {

	private final WireDialect dialect;

	private final Backend to;

	private final OutgoingRequest request;

	private final BackendListener listener;

	private boolean finished;

	private ChannelFuture connectFuture;

	private BackendChannel channel;

	private ExchangeTrace trace = ExchangeTrace.NOT_SENT;

	BackendCall(WireDialect dialect, Backend to, OutgoingRequest request, BackendListener listener) {
		this.dialect = dialect;
		this.to = to;
		this.request = request;
		this.listener = listener;
	}

	@Override
	public void cancel() {
		if (this.finished) {
			return;
		}
		this.finished = true;
		if (this.channel != null) {
			this.channel.close();
		}
		else if (this.connectFuture != null) {
			this.connectFuture.cancel(false);
			this.connectFuture.channel().close();
		}
	}

	@Override
	public void skipRest() {
		this.finished = true;
		this.channel.skipRest();
	}

	@Override
	public void setReading(boolean on) {
		if (this.channel != null && !this.finished) {
			this.channel.setReading(on);
		}
	}

	@Override
	public ExchangeTrace trace() {
		return this.trace;
	}

	void connectFuture(ChannelFuture future) {
		this.connectFuture = future;
	}

	boolean finished() {
		return this.finished;
	}

	/**
	 * Assigns the connection that the request is sent on.
	 * @param channel the connection
	 * @param earlierRequests the requests that it has carried before
	 */
	void assignChannel(BackendChannel channel, int earlierRequests) {
		this.channel = channel;
		this.trace = new ExchangeTrace(earlierRequests, ExchangeTrace.Stage.NOTHING);
	}

	/**
	 * Records how far the response has come.
	 * @param stage a stage, ignored if a later one was reached
	 */
	void reached(ExchangeTrace.Stage stage) {
		if (stage.compareTo(this.trace.stage()) > 0) {
			this.trace = new ExchangeTrace(this.trace.earlierRequests(), stage);
		}
	}

	FullHttpRequest toHttpRequest() {
		CallerRequest original = this.request.original();
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(original.method()), original.target(), Unpooled.wrappedBuffer(original.body()));
		this.dialect.writeRequestHeaders(this.to, this.request, message.headers());
		if (original.body().length > 0 || !bodiless(original.method())) {
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, original.body().length);
		}
		return message;
	}

	String id() {
		return this.request.original().id();
	}

	/**
	 * The length of the request's body.
	 * @return the number of bytes
	 */
	int length() {
		return this.request.original().body().length;
	}

	boolean headOnly() {
		return HttpMethod.HEAD.name().equals(this.request.original().method());
	}

	ResponseOwner ownerOf(HttpResponse response) {
		return ResponseOwner.of(this.dialect.requestIds(response), id());
	}

	/**
	 * Whether only the position of a response on its connection may tell that it belongs
	 * to this request.
	 * @param response the head of a response that names no request
	 * @return false for a success, if the request has an id
	 */
	boolean acceptsUnnamed(HttpResponse response) {
		return !this.request.named() || response.status().codeClass() != HttpStatusClass.SUCCESS;
	}

	void head(HttpResponse response) {
		if (!this.finished) {
			BackendHead head = this.dialect.readResponseHead(response);
			this.listener.head(head);
		}
	}

	void data(byte[] data) {
		if (!this.finished) {
			this.listener.data(data);
		}
	}

	void complete() {
		if (!this.finished) {
			this.finished = true;
			this.listener.complete();
		}
	}

	void closed() {
		if (!this.finished) {
			this.finished = true;
			this.listener.closed();
		}
	}

	void failed(boolean sent, String cause) {
		if (!this.finished) {
			this.finished = true;
			this.listener.failed(sent, cause);
		}
	}

	private static boolean bodiless(String method) {
		return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
	}

}
