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
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
 * Calls one server that exchanges small documents, such as the platform's store.
 *
 * <p>
 * Invariants: each call completes on the loop's thread within its time limit; a
 * connection on which a call failed or timed out is closed, since a server that lost a
 * response sends nothing more on it, and a connection may stay silent for good while new
 * ones work. Confined to the loop's thread.
 */
public final class JsonClient {

	/** Lists have 1 MB at most; the rest allows for their encoding. */
	private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MAX_IDLE_CONNECTIONS = 4;

	private final NettyLoop loop;

	private final HostAndPort address;

	private final int maxResponseBytes;

	private final Deque<Connection> idle = new ArrayDeque<>();

	/**
	 * Creates a client of a server that sends lists.
	 * @param loop the daemon's loop
	 * @param address the server
	 */
	public JsonClient(NettyLoop loop, HostAndPort address) {
		this(loop, address, MAX_LIST_BYTES);
	}

	/**
	 * Creates a client without connections.
	 * @param loop the daemon's loop
	 * @param address the server
	 * @param maxResponseBytes the size above which a response is a failure
	 */
	public JsonClient(NettyLoop loop, HostAndPort address, int maxResponseBytes) {
		this.loop = loop;
		this.address = address;
		this.maxResponseBytes = maxResponseBytes;
	}

	/**
	 * Calls the server.
	 * @param method the method
	 * @param target path and query
	 * @param body the body; empty for none
	 * @param limit the time limit of the call
	 * @return completes with the response, or with an {@link IOException} if there was
	 * none
	 */
	public CompletableFuture<Response> call(HttpMethod method, String target, byte[] body, Duration limit) {
		CompletableFuture<Response> result = new CompletableFuture<>();
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target,
				Unpooled.wrappedBuffer(body));
		request.headers().set(HttpHeaderNames.HOST, this.address.toString());
		if (body.length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		Connection reused = takeIdle();
		if (reused != null) {
			reused.send(request, result, limit);
		}
		else {
			connect(request, result, limit);
		}
		return result;
	}

	private Connection takeIdle() {
		while (!this.idle.isEmpty()) {
			Connection connection = this.idle.pollFirst();
			if (connection.channel.isActive()) {
				return connection;
			}
		}
		return null;
	}

	private void connect(FullHttpRequest request, CompletableFuture<Response> result, Duration limit) {
		new Bootstrap().group(this.loop.group())
			.channel(this.loop.channel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
					(int) Math.min(CONNECT_TIMEOUT_MILLIS, Math.max(1, limit.toMillis())))
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					EndOfInputDetector input = new EndOfInputDetector();
					channel.pipeline()
						.addLast(input)
						.addLast(new HttpClientCodec())
						.addLast(new WholeResponseFilter(input))
						.addLast(new HttpObjectAggregator(JsonClient.this.maxResponseBytes))
						.addLast(new Connection(channel));
				}

			})
			.connect(this.address.getHost(), this.address.getPort())
			.addListener((io.netty.channel.ChannelFuture future) -> {
				if (future.isSuccess()) {
					future.channel().pipeline().get(Connection.class).send(request, result, limit);
				}
				else {
					request.release();
					result.completeExceptionally(new NotSentException(
							"can't connect to " + this.address + ": " + future.cause().getMessage()));
				}
			});
	}

	/**
	 * A response of the server.
	 *
	 * @param status the status
	 * @param headers the headers
	 * @param body the body
	 */
	public record Response(int status, HttpHeaders headers, byte[] body) {

		@Override
		public String toString() {
			return this.status + " " + new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/**
	 * Thrown if the request was certainly not sent.
	 */
	public static final class NotSentException extends IOException {

		private static final long serialVersionUID = 1L;

		NotSentException(String message) {
			super(message);
		}

	}

	/**
	 * One connection and the call in progress on it.
	 */
	private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final Channel channel;

		private CompletableFuture<Response> result;

		private Cancellable timer = () -> {
		};

		private Connection(Channel channel) {
			this.channel = channel;
		}

		private void send(FullHttpRequest request, CompletableFuture<Response> result, Duration limit) {
			this.result = result;
			this.timer = JsonClient.this.loop.schedule(limit, () -> fail("no response within " + limit));
			this.channel.writeAndFlush(request).addListener((future) -> {
				if (!future.isSuccess()) {
					fail("write: " + future.cause().getMessage());
				}
			});
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			if (this.result == null || response.decoderResult().isFailure()) {
				fail("malformed or unsolicited response");
				return;
			}
			byte[] body = new byte[response.content().readableBytes()];
			response.content().readBytes(body);
			CompletableFuture<Response> completed = this.result;
			this.result = null;
			this.timer.cancel();
			if (HttpUtil.isKeepAlive(response) && JsonClient.this.idle.size() < MAX_IDLE_CONNECTIONS) {
				JsonClient.this.idle.addFirst(this);
			}
			else {
				this.channel.close();
			}
			completed.complete(new Response(response.status().code(), response.headers(), body));
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof ChannelInputShutdownEvent) {
				fail("connection closed by the server");
			}
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
				CompletableFuture<Response> pending = this.result;
				this.result = null;
				pending.completeExceptionally(new IOException(JsonClient.this.address + ": " + cause));
			}
		}

	}

}
