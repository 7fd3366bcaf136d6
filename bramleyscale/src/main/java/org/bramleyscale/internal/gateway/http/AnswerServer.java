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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;

/**
 * Answers small questions about this daemon: its addresses, its readiness, its state.
 *
 * <p>
 * {@link #listen} blocks and must not be called on the loop's thread; answers are given
 * there.
 */
public final class AnswerServer {

	private static final int LARGEST_QUESTION = 65_536;

	private static final int IDLE_SECONDS = 30;

	private final NettyLoop loop;

	private final Function<Question, Reply> answers;

	/**
	 * Makes a server.
	 * @param loop the daemon's loop
	 * @param answers gives the answer to a question
	 */
	public AnswerServer(NettyLoop loop, Function<Question, Reply> answers) {
		this.loop = loop;
		this.answers = answers;
	}

	/**
	 * Begins to listen.
	 * @param address the address
	 * @throws IOException if it can't be bound
	 */
	public void listen(InetSocketAddress address) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(this.loop.group())
			.channel(this.loop.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new ReadTimeoutHandler(IDLE_SECONDS))
						.addLast(new HttpServerCodec())
						.addLast(new HttpObjectAggregator(LARGEST_QUESTION))
						.addLast(new Answerer());
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("can't listen on " + address, bound.cause());
		}
	}

	/**
	 * A question.
	 *
	 * @param method the method
	 * @param path the path
	 * @param query the query
	 */
	public record Question(String method, String path, QueryStringDecoder query) {

		/**
		 * A value of the query.
		 * @param name its name
		 * @return the first value, or an empty text
		 */
		public String value(String name) {
			return this.query.parameters().getOrDefault(name, java.util.List.of("")).get(0);
		}

	}

	/**
	 * An answer.
	 *
	 * @param status the status
	 * @param type the media type
	 * @param body the body
	 */
	public record Reply(int status, String type, byte[] body) {

		/** There is nothing at the path. */
		public static final Reply NOT_FOUND = new Reply(404, "text/plain", new byte[0]);

	}

	/**
	 * Answers on one connection.
	 */
	private final class Answerer extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			QueryStringDecoder query = new QueryStringDecoder(request.uri());
			Reply reply = AnswerServer.this.answers.apply(new Question(request.method().name(), query.path(), query));
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.type());
			HttpUtil.setContentLength(response, reply.body().length);
			boolean keep = HttpUtil.isKeepAlive(request);
			if (!keep) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			ChannelFuture written = context.writeAndFlush(response);
			if (!keep) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
