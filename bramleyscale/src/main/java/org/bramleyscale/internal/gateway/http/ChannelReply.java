package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.bramleyscale.internal.gateway.request.CallerReply;
import org.bramleyscale.internal.gateway.request.Header;

/**
 * The answer on a caller's connection.
 *
 * <p>
 * Invariant: at most one answer is written, and a stream that was broken off ends with a
 * reset and without its last chunk, so that nobody takes it for whole. Confined to the
 * loop's thread.
 */
final class ChannelReply implements CallerReply {

	private static final double MILLIS = 1_000.0;

	private final CallerChannel caller;

	private final Channel channel;

	private final boolean keepAlive;

	private final boolean headOnly;

	private final boolean chunks;

	private boolean over;

	private Runnable readsAgain = () -> {
	};

	ChannelReply(CallerChannel caller, HttpRequest request) {
		this.caller = caller;
		this.channel = caller.channel();
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.headOnly = HttpMethod.HEAD.equals(request.method());
		this.chunks = request.protocolVersion().isKeepAliveDefault();
	}

	/**
	 * Answers a request that couldn't be read, and closes the connection.
	 * @param channel the connection
	 * @param status the status
	 */
	static void refuse(Channel channel, int status) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status));
		HttpUtil.setContentLength(response, 0);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void whole(int status, List<Header> headers, byte[] body) {
		if (this.over) {
			return;
		}
		ByteBuf content = this.headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content);
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		HttpUtil.setContentLength(response, body.length);
		finish(response);
	}

	@Override
	public void own(int status, String reason, Duration retryAfter) {
		if (this.over) {
			return;
		}
		byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		ByteBuf content = this.headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(text);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (!retryAfter.isNegative() && !retryAfter.isZero()) {
			response.headers()
				.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLIS));
		}
		HttpUtil.setContentLength(response, text.length);
		finish(response);
	}

	@Override
	public void begin(int status, List<Header> headers) {
		if (this.over) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		if (this.chunks) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		connection(response);
		this.channel.write(response, this.channel.voidPromise());
	}

	@Override
	public boolean write(byte[] data) {
		if (this.over) {
			return true;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)), this.channel.voidPromise());
		return this.channel.isWritable();
	}

	@Override
	public void onReadsAgain(Runnable task) {
		this.readsAgain = task;
	}

	@Override
	public void end() {
		if (this.over) {
			return;
		}
		this.over = true;
		boolean close = closes() || !this.chunks;
		var written = this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		if (close) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.caller.answered(close);
	}

	@Override
	public void abort() {
		if (!this.over) {
			this.over = true;
			// Zero linger turns the close into a reset, also towards callers that read
			// a body until its connection ends.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			this.channel.close();
			this.caller.answered(true);
		}
	}

	/**
	 * The caller has closed the connection.
	 */
	void gone() {
		this.over = true;
	}

	void writable() {
		this.readsAgain.run();
	}

	private void finish(FullHttpResponse response) {
		this.over = true;
		connection(response);
		var written = this.channel.writeAndFlush(response);
		if (closes()) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.caller.answered(closes());
	}

	private boolean closes() {
		return !this.keepAlive || this.caller.leaving();
	}

	private void connection(HttpMessage response) {
		if (closes()) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (!this.chunks) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

}
