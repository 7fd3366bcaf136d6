package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;

/**
 * An HTTP server for small requests about this daemon: its addresses, its readiness, its
 * state.
 *
 * <p>
 * {@link #listen} blocks and must not be called on the loop's thread; the handler is
 * called there.
 */
public final class SimpleHttpServer {

	private static final int MAX_INITIAL_LINE_LENGTH = 4_096;

	private static final int MAX_HEADER_SIZE = 8_192;

	private static final int MAX_REQUEST_BYTES = 65_536;

	private static final int IDLE_SECONDS = 30;

	private final NettyLoop loop;

	private final Function<Request, Response> handler;

	/**
	 * Creates a server.
	 * @param loop the daemon's loop
	 * @param handler returns the response to a request
	 */
	public SimpleHttpServer(NettyLoop loop, Function<Request, Response> handler) {
		this.loop = loop;
		this.handler = handler;
	}

	/**
	 * Starts to listen.
	 * @param address the address
	 * @throws IOException if the address can't be bound
	 */
	public void listen(InetSocketAddress address) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(this.loop.group())
			.channel(this.loop.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					ServerResponseEncoder encoder = new ServerResponseEncoder();
					channel.pipeline()
						.addLast(new ReadTimeoutHandler(IDLE_SECONDS))
						.addLast(new ServerRequestDecoder(MAX_INITIAL_LINE_LENGTH, MAX_HEADER_SIZE, MAX_REQUEST_BYTES))
						.addLast(encoder)
						.addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
						.addLast(new RequestHandler(encoder));
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("can't listen on " + address, bound.cause());
		}
	}

	/**
	 * A request.
	 *
	 * @param method the method
	 * @param path the path
	 * @param query the query
	 */
	public record Request(String method, String path, QueryStringDecoder query) {

		/**
		 * Returns a query parameter.
		 * @param name its name
		 * @return its first value, or an empty string
		 */
		public String parameter(String name) {
			return this.query.parameters().getOrDefault(name, java.util.List.of("")).get(0);
		}

	}

	/**
	 * A response.
	 *
	 * @param status the status
	 * @param type the media type
	 * @param body the body
	 */
	public record Response(int status, String type, byte[] body) {

		/** The response for a path that doesn't exist. */
		public static final Response NOT_FOUND = new Response(404, "text/plain", new byte[0]);

		/** The response to bytes that aren't a request. */
		private static final Response BAD_REQUEST = new Response(400, "text/plain", new byte[0]);

	}

	/**
	 * Handles the requests of one connection.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final ServerResponseEncoder encoder;

		RequestHandler(ServerResponseEncoder encoder) {
			this.encoder = encoder;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			boolean valid = request.decoderResult().isSuccess();
			Response response = valid ? respond(request) : Response.BAD_REQUEST;
			FullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
			httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.type());
			HttpUtil.setContentLength(httpResponse, response.body().length);
			boolean keepAlive = valid && HttpUtil.isKeepAlive(request);
			this.encoder.expectHeadOnly(HttpMethod.HEAD.equals(request.method()));
			if (!keepAlive) {
				httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			ChannelFuture written = context.writeAndFlush(httpResponse);
			if (!keepAlive) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		private Response respond(FullHttpRequest request) {
			QueryStringDecoder query = new QueryStringDecoder(request.uri());
			return SimpleHttpServer.this.handler.apply(new Request(request.method().name(), query.path(), query));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
