package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Calls one server with small documents, such as the platform's store.
 *
 * <p>
 * Invariants: each call completes on the loop's thread within its time limit; a
 * connection on which a call failed or timed out is closed, since a server that lost an
 * answer sends nothing more on it, and a connection may go silent for good while new ones
 * work. Confined to the loop's thread.
 */
public final class JsonClient {

	private static final int LARGEST_ANSWER = 64 * 1024 * 1024;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MOST_IDLE = 4;

	private final NettyLoop loop;

	private final HostAndPort address;

	private final Deque<Call> idle = new ArrayDeque<>();

	public JsonClient(NettyLoop loop, HostAndPort address) {
		this.loop = loop;
		this.address = address;
	}

	/**
	 * Makes a call.
	 * @param method the method
	 * @param target path and query
	 * @param body the body; empty for none
	 * @param limit how long the call may take
	 * @return completes with the answer, or with an {@link IOException} if none came
	 */
	public CompletableFuture<Answer> call(HttpMethod method, String target, byte[] body, Duration limit) {
		CompletableFuture<Answer> result = new CompletableFuture<>();
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target,
				Unpooled.wrappedBuffer(body));
		request.headers().set(HttpHeaderNames.HOST, this.address.toString());
		if (body.length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		Call kept = takeIdle();
		if (kept != null) {
			kept.send(request, result, limit);
		}
		else {
			connect(request, result, limit);
		}
		return result;
	}

	private Call takeIdle() {
		while (!this.idle.isEmpty()) {
			Call call = this.idle.pollFirst();
			if (call.channel.isActive()) {
				return call;
			}
		}
		return null;
	}

	private void connect(FullHttpRequest request, CompletableFuture<Answer> result, Duration limit) {
		new Bootstrap().group(this.loop.group())
			.channel(this.loop.channel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
					(int) Math.min(CONNECT_TIMEOUT_MILLIS, Math.max(1, limit.toMillis())))
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec())
						.addLast(new HttpObjectAggregator(LARGEST_ANSWER))
						.addLast(new Call(channel));
				}

			})
			.connect(this.address.getHost(), this.address.getPort())
			.addListener((io.netty.channel.ChannelFuture done) -> {
				if (done.isSuccess()) {
					done.channel().pipeline().get(Call.class).send(request, result, limit);
				}
				else {
					request.release();
					result.completeExceptionally(new NotSentException(
							"can't connect to " + this.address + ": " + done.cause().getMessage()));
				}
			});
	}

	/**
	 * The server's answer.
	 *
	 * @param status the status
	 * @param headers the headers
	 * @param body the body
	 */
	public record Answer(int status, HttpHeaders headers, byte[] body) {

		@Override
		public String toString() {
			return this.status + " " + new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/**
	 * The request was certainly not sent.
	 */
	public static final class NotSentException extends IOException {

		private static final long serialVersionUID = 1L;

		NotSentException(String message) {
			super(message);
		}

	}

	/**
	 * One connection and the call on it.
	 */
	private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final Channel channel;

		private CompletableFuture<Answer> result;

		private Cancellable timer = () -> {
		};

		private Call(Channel channel) {
			this.channel = channel;
		}

		private void send(FullHttpRequest request, CompletableFuture<Answer> future, Duration limit) {
			this.result = future;
			this.timer = JsonClient.this.loop.schedule(limit, () -> fail("no answer within " + limit));
			this.channel.writeAndFlush(request).addListener((done) -> {
				if (!done.isSuccess()) {
					fail("write: " + done.cause().getMessage());
				}
			});
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			if (this.result == null || response.decoderResult().isFailure()) {
				fail("not an answer in the protocol");
				return;
			}
			byte[] body = new byte[response.content().readableBytes()];
			response.content().readBytes(body);
			CompletableFuture<Answer> answered = this.result;
			this.result = null;
			this.timer.cancel();
			if (HttpUtil.isKeepAlive(response) && JsonClient.this.idle.size() < MOST_IDLE) {
				JsonClient.this.idle.addFirst(this);
			}
			else {
				this.channel.close();
			}
			answered.complete(new Answer(response.status().code(), response.headers(), body));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			fail(cause.toString());
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			JsonClient.this.idle.remove(this);
			fail("connection closed");
		}

		private void fail(String cause) {
			this.timer.cancel();
			this.channel.close();
			JsonClient.this.idle.remove(this);
			if (this.result != null) {
				CompletableFuture<Answer> failed = this.result;
				this.result = null;
				failed.completeExceptionally(new IOException(JsonClient.this.address + ": " + cause));
			}
		}

	}

}
