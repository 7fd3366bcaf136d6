package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.bramleyscale.internal.gateway.request.CallerReply;
import org.bramleyscale.internal.gateway.request.Header;
import org.bramleyscale.internal.gateway.request.ReplyState;
import org.bramleyscale.internal.gateway.request.ReplyState.Step;
import org.jboss.logging.Logger;

/**
 * The response on a caller's connection.
 *
 * <p>
 * Invariants: at most one response is written; an aborted one ends with a reset and
 * without its last chunk, so that it can't be taken for complete; a response that can't
 * be written is aborted; the caller's connection learns of the end only once the last
 * byte is on the wire. Confined to the loop's thread.
 */
final class ChannelReply implements CallerReply {

	private static final Logger logger = Logger.getLogger(ChannelReply.class);

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private final CallerChannel caller;

	private final Channel channel;

	private final boolean keepAlive;

	private final boolean headOnly;

	private final boolean chunked;

	private final ReplyState state = new ReplyState();

	private boolean closeAnnounced;

	private Runnable writableCallback = () -> {
	};

	private Runnable onEnd = () -> {
	};

	ChannelReply(CallerChannel caller, HttpRequest request) {
		this.caller = caller;
		this.channel = caller.channel();
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.headOnly = HttpMethod.HEAD.equals(request.method());
		this.chunked = request.protocolVersion().isKeepAliveDefault();
	}

	/**
	 * Responds to a request that couldn't be read.
	 * @param channel the connection, which the caller of this method closes afterwards
	 * @param status the status
	 * @return completes when the response is on the wire
	 */
	static ChannelFuture refuse(Channel channel, int status) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status));
		HttpUtil.setContentLength(response, 0);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		return channel.writeAndFlush(response);
	}

	@Override
	public void sendResponse(int status, List<Header> headers, byte[] body) {
		if (!take(Step.RESPOND)) {
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
	public void sendOwnResponse(int status, String reason, Duration retryAfter) {
		if (!take(Step.RESPOND)) {
			return;
		}
		byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		ByteBuf content = this.headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(text);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (!retryAfter.isNegative() && !retryAfter.isZero()) {
			response.headers()
				.set(HttpHeaderNames.RETRY_AFTER,
						String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLIS_PER_SECOND));
		}
		HttpUtil.setContentLength(response, text.length);
		finish(response);
	}

	@Override
	public void startStream(int status, List<Header> headers) {
		if (!take(Step.START)) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		headers.forEach((header) -> response.headers().add(header.name(), header.value()));
		if (this.chunked) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		setConnectionHeader(response);
		this.channel.write(response, this.channel.voidPromise());
	}

	@Override
	public boolean write(byte[] data) {
		if (!take(Step.WRITE)) {
			return true;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)), this.channel.voidPromise());
		return this.channel.isWritable();
	}

	@Override
	public void onWritable(Runnable task) {
		this.writableCallback = task;
	}

	@Override
	public void onEnd(Runnable task) {
		this.onEnd = task;
	}

	@Override
	public void endStream() {
		if (!take(Step.COMPLETE)) {
			return;
		}
		boolean close = this.closeAnnounced || !this.chunked || closesConnection();
		finish(LastHttpContent.EMPTY_LAST_CONTENT, close);
	}

	@Override
	public void abort() {
		if (this.state.take(Step.ABORT) == ReplyState.Result.TAKEN) {
			if (this.channel.isOpen()) {
				// Zero linger turns the close into a reset, including for callers that
				// read a body until its connection ends. A closed socket has no options.
				this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
				this.channel.close();
			}
			end(true);
		}
	}

	/**
	 * Called when the caller has closed the connection.
	 */
	void callerDisconnected() {
		if (this.state.take(Step.ABORT) == ReplyState.Result.TAKEN) {
			this.onEnd.run();
		}
	}

	void channelWritable() {
		this.writableCallback.run();
	}

	private void finish(FullHttpResponse response) {
		setConnectionHeader(response);
		finish(response, this.closeAnnounced);
	}

	private void finish(HttpObject last, boolean close) {
		this.caller.responseHandedOver(this::abort);
		this.channel.writeAndFlush(last).addListener((written) -> {
			if (!written.isSuccess()) {
				logger.debugf(written.cause(), "A response couldn't be written");
				abort();
			}
			else if (this.state.take(Step.FLUSH) == ReplyState.Result.TAKEN) {
				if (close) {
					this.channel.close();
				}
				end(close);
			}
		});
	}

	private void end(boolean close) {
		this.onEnd.run();
		this.caller.responseEnded(close);
	}

	/**
	 * Takes a step of the response, or aborts a response that the step would make
	 * invalid.
	 * @param step the step
	 * @return true if it was taken
	 */
	private boolean take(Step step) {
		String before = this.state.toString();
		ReplyState.Result result = this.state.take(step);
		if (result == ReplyState.Result.ILLEGAL) {
			logger.errorf("Aborted a response: %s in state %s", step, before);
			abort();
		}
		return result == ReplyState.Result.TAKEN;
	}

	private boolean closesConnection() {
		return !this.keepAlive || this.caller.endsWithResponse();
	}

	private void setConnectionHeader(HttpMessage response) {
		this.closeAnnounced = closesConnection();
		if (this.closeAnnounced) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (!this.chunked) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

}
