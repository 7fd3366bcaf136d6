package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * One connection of a {@link JsonClient} and the call in progress on it.
 *
 * <p>
 * No response names its call, so only its position tells. Invariants: the connection
 * carries a call only while all bytes read on it belong to whole responses to earlier
 * ones; a call completes only with status, head and body of one response that began after
 * the call was sent, and only if no bytes have arrived behind it; a connection on which a
 * call failed or timed out is closed. Confined to the scheduler's thread.
 */
final class JsonConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

	private static final Logger logger = Logger.getLogger(JsonConnection.class);

	private final Owner owner;

	private final Scheduler scheduler;

	private final String server;

	private final String path;

	private final Channel channel;

	private final EndOfInputDetector input;

	private final ResponseDecoder decoder;

	private final WholeResponseFilter filter;

	private CompletableFuture<JsonClient.Response> result;

	private Cancellable timer = () -> {
	};

	/**
	 * Adds the handlers of a connection to its channel.
	 * @param channel the channel, which may be half closed
	 * @param owner the owner of the connection
	 * @param scheduler times the calls
	 * @param server the server, for error messages
	 * @param path the path of all calls on the connection
	 * @param maxResponseBytes the size above which a response is a failure
	 * @return the connection
	 */
	static JsonConnection addTo(Channel channel, Owner owner, Scheduler scheduler, String server, String path,
			int maxResponseBytes) {
		JsonConnection connection = new JsonConnection(channel, owner, scheduler, server, path);
		channel.pipeline()
			.addLast(connection.input)
			.addLast(connection.decoder)
			.addLast(new HttpRequestEncoder())
			.addLast(connection.filter)
			.addLast(new HttpObjectAggregator(maxResponseBytes) {
				@Override
				protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
					connection.fail(new JsonClient.TooLargeException(
							server + ": response of more than " + maxResponseBytes + " bytes"));
				}
			})
			.addLast(connection);
		return connection;
	}

	private JsonConnection(Channel channel, Owner owner, Scheduler scheduler, String server, String path) {
		this.channel = channel;
		this.owner = owner;
		this.scheduler = scheduler;
		this.server = server;
		this.path = path;
		this.input = new EndOfInputDetector();
		this.decoder = new ResponseDecoder();
		this.filter = new WholeResponseFilter(this.input);
	}

	/**
	 * Sends a call.
	 * @param request the request
	 * @param newResult completes with the response, or with an {@link IOException}
	 * @param limit the time limit of the call
	 */
	void send(FullHttpRequest request, CompletableFuture<JsonClient.Response> newResult, Duration limit) {
		boolean headOnly = request.method().equals(HttpMethod.HEAD);
		this.decoder.requestSent("", headOnly);
		this.filter.await(headOnly);
		this.result = newResult;
		this.timer = this.scheduler.schedule(limit, () -> fail("no response within " + limit));
		this.channel.writeAndFlush(request).addListener((future) -> {
			if (!future.isSuccess()) {
				fail("write: " + future.cause().getMessage());
			}
		});
	}

	/**
	 * Whether this connection may carry a call.
	 * @return false if it carries one, has ended, or if other bytes were read
	 */
	boolean isReusable() {
		return this.result == null && this.channel.isActive() && !this.input.ended() && this.decoder.allAccounted();
	}

	String path() {
		return this.path;
	}

	void close() {
		this.channel.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
		if (this.result == null || response.decoderResult().isFailure()) {
			fail("malformed or unsolicited response");
			return;
		}
		byte[] body = new byte[response.content().readableBytes()];
		response.content().readBytes(body);
		if (this.decoder.unaccountedBytes() > 0 || ResponseBodyCheck.holdsAnotherResponse(body)) {
			fail("bytes of another response");
			return;
		}
		CompletableFuture<JsonClient.Response> completed = this.result;
		this.result = null;
		this.timer.cancel();
		if (HttpUtil.isKeepAlive(response)) {
			this.owner.release(this);
		}
		else {
			close();
		}
		completed.complete(new JsonClient.Response(response.status().code(), response.headers(), body));
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.result == null && this.channel.isActive() && !this.decoder.allAccounted()) {
			logger.warnf("Closing a connection to %s: bytes of no response between two calls", this.server);
			close();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			fail("connection closed by the server");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof DecoderException)) {
			fail(cause.toString());
			return;
		}
		if (this.result == null && this.channel.isActive()) {
			logger.warnf("Closing a connection to %s between two calls: %s", this.server, cause.getMessage());
		}
		fail("malformed response: " + cause.getMessage());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail("connection closed");
	}

	private void fail(String cause) {
		fail(new IOException(this.server + ": " + cause));
	}

	private void fail(IOException cause) {
		this.timer.cancel();
		close();
		this.owner.remove(this);
		if (this.result != null) {
			CompletableFuture<JsonClient.Response> pending = this.result;
			this.result = null;
			pending.completeExceptionally(cause);
		}
	}

	/**
	 * Keeps connections while they carry no call. Confined to the scheduler's thread.
	 */
	interface Owner {

		/**
		 * Takes back a connection whose call has been answered.
		 * @param connection the connection, which may be used again
		 */
		void release(JsonConnection connection);

		/**
		 * Called when a connection is closed.
		 * @param connection the connection
		 */
		void remove(JsonConnection connection);

	}

}
