package org.bramleyscale.internal.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.HandledRequest;
import org.bramleyscale.internal.gateway.request.OpenRequest;
import org.bramleyscale.internal.time.Cancellable;
import org.jboss.logging.Logger;

/**
 * One caller's connection: reads one request at a time and dispatches it.
 *
 * <p>
 * Invariants: a request is dispatched only after the response to the previous one is on
 * the wire, so that responses stay in order; the connection is among the open requests
 * from the first byte of a request until the last byte of the response to it, and to
 * those pipelined behind it, is on the wire; the number of pipelined messages is bounded.
 * Confined to the loop's thread.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter implements OpenRequest {

	private static final Logger logger = Logger.getLogger(CallerChannel.class);

	/** Number of pipelined messages at which reading from the caller stops. */
	private static final int MAX_PIPELINED_MESSAGES = 64;

	/** Allocated for a body before it arrives: its caller may never send what it says. */
	private static final long FIRST_BODY_BYTES = 8_192;

	private static final int TOO_LARGE = 413;

	private static final int HEADERS_TOO_LARGE = 431;

	private static final int BAD_REQUEST = 400;

	private static final int TIMEOUT = 408;

	private static final int UNAVAILABLE = 503;

	/** How long a refused caller may go on sending while it reads the refusal. */
	private static final Duration LINGER = Duration.ofSeconds(1);

	private final CallerServer server;

	private final Channel channel;

	private final ServerRequestDecoder decoder;

	private final ServerResponseEncoder encoder;

	private final Deque<Object> pipelined = new ArrayDeque<>();

	private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private HttpRequest head;

	private long headAt;

	private ChannelReply reply;

	private HandledRequest handled = HandledRequest.ENDED;

	private boolean discarding;

	private boolean awaitingFirstByte = true;

	private Cancellable timer;

	CallerChannel(CallerServer server, Channel channel, ServerRequestDecoder decoder, ServerResponseEncoder encoder) {
		this.server = server;
		this.channel = channel;
		this.decoder = decoder;
		this.encoder = encoder;
		this.timer = server.scheduler().schedule(server.limits().idleTimeout(), this::idleTimedOut);
	}

	void bytesArrived() {
		if (this.reply == null && this.awaitingFirstByte) {
			this.awaitingFirstByte = false;
			this.server.openRequests().add(this);
			startTimer(this.server.limits().headerTimeout(), this::headerTimedOut);
		}
	}

	void closeIfIdle() {
		if (this.reply == null && this.head == null) {
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.discarding) {
			ReferenceCountUtil.release(message);
		}
		else if (this.reply != null) {
			this.pipelined.add(message);
			if (this.pipelined.size() >= MAX_PIPELINED_MESSAGES) {
				this.channel.config().setAutoRead(false);
			}
		}
		else {
			process(message);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.channel.isWritable() && this.reply != null) {
			this.reply.channelWritable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.timer.cancel();
		this.server.channelClosed(this);
		this.server.openRequests().remove(this);
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		if (this.reply != null) {
			this.reply.callerDisconnected();
			this.handled.callerDisconnected();
		}
	}

	@Override
	public void daemonStops(Duration untilExit) {
		this.handled.daemonStops(untilExit);
	}

	@Override
	public void daemonExits() {
		if (this.reply != null) {
			this.handled.daemonExits();
		}
		else if (this.head != null) {
			refuse(UNAVAILABLE);
		}
		else {
			this.channel.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			logger.warn("Caller connection failed", cause);
		}
		if (this.reply != null) {
			this.reply.abort();
		}
		context.close();
	}

	/**
	 * Called when the whole response to the current request was handed to the connection.
	 * @param abort ends the response if the caller doesn't read it
	 */
	void responseHandedOver(Runnable abort) {
		startTimer(this.server.limits().idleTimeout(), abort);
	}

	/**
	 * Called when the response to the current request is on the wire or was aborted.
	 * @param close whether the connection ends with it
	 */
	void responseEnded(boolean close) {
		this.timer.cancel();
		this.reply = null;
		this.handled = HandledRequest.ENDED;
		this.server.openRequests().remove(this);
		if (close) {
			this.discarding = true;
			return;
		}
		this.awaitingFirstByte = true;
		startTimer(this.server.limits().idleTimeout(), this::idleTimedOut);
		while (this.reply == null && !this.discarding && !this.pipelined.isEmpty()) {
			bytesArrived();
			process(this.pipelined.poll());
		}
		if (!this.discarding && this.decoder.holdsPartOfHead()) {
			bytesArrived();
		}
		this.channel.config().setAutoRead(true);
	}

	Channel channel() {
		return this.channel;
	}

	/**
	 * Whether the connection ends with the current response. While requests are pipelined
	 * behind it, it doesn't: they have been read.
	 * @return true if the daemon leaves and nothing else was read
	 */
	boolean endsWithResponse() {
		return this.server.leaving() && this.pipelined.isEmpty();
	}

	private void process(Object message) {
		try {
			if (message instanceof HttpRequest request) {
				startRequest(request);
			}
			if (message instanceof HttpContent content && !this.discarding) {
				addContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void startRequest(HttpRequest request) {
		if (request.decoderResult().isFailure()) {
			boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
			refuse(tooLong ? HEADERS_TOO_LARGE : BAD_REQUEST);
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().bodyBytes()) {
			refuse(TOO_LARGE);
			return;
		}
		this.head = request;
		this.headAt = this.server.scheduler().nanos();
		this.body = new ByteArrayOutputStream(
				(int) Math.min(FIRST_BODY_BYTES, Math.max(0L, HttpUtil.getContentLength(request, 0L))));
		startTimer(this.server.bodyTimeout(), this::bodyTimedOut);
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void addContent(HttpContent content) {
		if (this.head == null || content.decoderResult().isFailure()) {
			refuse(BAD_REQUEST);
			return;
		}
		if (this.body.size() + content.content().readableBytes() > this.server.limits().bodyBytes()) {
			refuse(TOO_LARGE);
			return;
		}
		byte[] bytes = new byte[content.content().readableBytes()];
		content.content().readBytes(bytes);
		this.body.write(bytes, 0, bytes.length);
		if (content instanceof LastHttpContent) {
			dispatch();
		}
	}

	private void dispatch() {
		HttpRequest request = this.head;
		byte[] bytes = this.body.toByteArray();
		this.head = null;
		this.body = null;
		this.timer.cancel();
		CallerRequest parsed;
		try {
			parsed = this.server.dialect()
				.readRequest(request, bytes)
				.afterWaiting(Duration.ofNanos(this.server.scheduler().nanos() - this.headAt));
		}
		catch (WireDialect.BadRequestException ex) {
			logger.debugf("Rejected a malformed request: %s", ex.getMessage());
			refuse(BAD_REQUEST);
			return;
		}
		this.encoder.expectHeadOnly(HttpMethod.HEAD.equals(request.method()));
		this.reply = new ChannelReply(this, request);
		ChannelReply current = this.reply;
		HandledRequest taken = this.server.requests().handle(parsed, current);
		if (this.reply == current) {
			this.handled = taken;
		}
	}

	private void refuse(int status) {
		this.discarding = true;
		this.head = null;
		this.body = null;
		this.timer.cancel();
		ChannelReply.refuse(this.channel, status).addListener((written) -> {
			this.server.openRequests().remove(this);
			closeOnceRead();
		});
	}

	/**
	 * Closes the connection to a caller that may still be sending. Closing it at once
	 * would reset it, and the response might never be read.
	 */
	private void closeOnceRead() {
		if (this.channel.isActive() && this.channel instanceof DuplexChannel duplex) {
			duplex.shutdownOutput();
			startTimer(LINGER, this.channel::close);
		}
		else {
			this.channel.close();
		}
	}

	private void startTimer(Duration limit, Runnable task) {
		this.timer.cancel();
		this.timer = this.server.scheduler().schedule(limit, task);
	}

	private void headerTimedOut() {
		if (this.reply == null && this.head == null) {
			refuse(TIMEOUT);
		}
	}

	private void bodyTimedOut() {
		if (this.head != null) {
			refuse(TIMEOUT);
		}
	}

	private void idleTimedOut() {
		closeIfIdle();
	}

}
