package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Calls one server that exchanges small documents, such as the platform's store.
 *
 * <p>
 * A server may send a response twice, and a copy that arrives in place of the next
 * response can't be told from it. Invariants: a call that changes state has a connection
 * of its own; a connection carries reads of one path, so that a copy is an earlier state
 * of what is read; each call completes on the loop's thread within its time limit; a
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

	private final IdleJsonConnections idle = new IdleJsonConnections(MAX_IDLE_CONNECTIONS);

	private final IdleJsonConnections closing = new IdleJsonConnections(0);

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
		if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.HEAD)) {
			connect(this.closing, request, result, limit);
			return result;
		}
		JsonConnection reused = this.idle.take(path(request));
		if (reused != null) {
			reused.send(request, result, limit);
		}
		else {
			connect(this.idle, request, result, limit);
		}
		return result;
	}

	private static String path(FullHttpRequest request) {
		return new QueryStringDecoder(request.uri()).rawPath();
	}

	private void connect(JsonConnection.Owner owner, FullHttpRequest request, CompletableFuture<Response> result,
			Duration limit) {
		new Bootstrap().group(this.loop.group())
			.channel(this.loop.channel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
					(int) Math.min(CONNECT_TIMEOUT_MILLIS, Math.max(1, limit.toMillis())))
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					JsonConnection.addTo(channel, owner, JsonClient.this.loop, JsonClient.this.address.toString(),
							path(request), JsonClient.this.maxResponseBytes);
				}

			})
			.connect(this.address.getHost(), this.address.getPort())
			.addListener((io.netty.channel.ChannelFuture future) -> {
				if (future.isSuccess()) {
					future.channel().pipeline().get(JsonConnection.class).send(request, result, limit);
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
	 * Thrown if the server has answered with more bytes than are read.
	 */
	public static final class TooLargeException extends IOException {

		private static final long serialVersionUID = 1L;

		TooLargeException(String message) {
			super(message);
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

}
