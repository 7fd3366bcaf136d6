package org.bramleyscale.internal.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * One request on its way to an endpoint and its answer on the way back.
 *
 * <p>
 * Invariant: after {@link #cancel} or the last word its listener hears nothing more.
 * Confined to the loop's thread.
 */
final class BackendCall implements BackendClient.BackendExchange {

	private final WireDialect dialect;

	private final Backend to;

	private final OutgoingRequest request;

	private final BackendListener listener;

	private boolean over;

	private ChannelFuture connecting;

	private BackendChannel channel;

	BackendCall(WireDialect dialect, Backend to, OutgoingRequest request, BackendListener listener) {
		this.dialect = dialect;
		this.to = to;
		this.request = request;
		this.listener = listener;
	}

	@Override
	public void cancel() {
		if (this.over) {
			return;
		}
		this.over = true;
		if (this.channel != null) {
			this.channel.close();
		}
		else if (this.connecting != null) {
			this.connecting.cancel(false);
			this.connecting.channel().close();
		}
	}

	@Override
	public void reading(boolean on) {
		if (this.channel != null && !this.over) {
			this.channel.reading(on);
		}
	}

	void connecting(ChannelFuture future) {
		this.connecting = future;
	}

	boolean over() {
		return this.over;
	}

	void on(BackendChannel channel) {
		this.channel = channel;
	}

	FullHttpRequest message() {
		CallerRequest original = this.request.original();
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(original.method()), original.target(), Unpooled.wrappedBuffer(original.body()));
		this.dialect.write(this.to, this.request, message.headers());
		if (original.body().length > 0 || !bodiless(original.method())) {
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, original.body().length);
		}
		return message;
	}

	boolean headOnly() {
		return HttpMethod.HEAD.name().equals(this.request.original().method());
	}

	boolean belongs(HttpResponse answer) {
		return this.dialect.belongs(answer, this.request.original());
	}

	void head(HttpResponse answer) {
		if (!this.over) {
			BackendHead head = this.dialect.answer(answer);
			this.listener.head(head);
		}
	}

	void data(byte[] data) {
		if (!this.over) {
			this.listener.data(data);
		}
	}

	void complete() {
		if (!this.over) {
			this.over = true;
			this.listener.complete();
		}
	}

	void failed(boolean sent, String cause) {
		if (!this.over) {
			this.over = true;
			this.listener.failed(sent, cause);
		}
	}

	private static boolean bodiless(String method) {
		return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
	}

}
