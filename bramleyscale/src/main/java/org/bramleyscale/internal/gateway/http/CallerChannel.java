package org.bramleyscale.internal.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.time.Cancellable;
import org.jboss.logging.Logger;

/**
 * One caller's connection: reads one request at a time and hands it on.
 *
 * <p>
 * Invariants: a request is handed on only after its answer's predecessor has ended, so
 * that answers can't change places; what a caller sends ahead is bounded. Confined to the
 * loop's thread.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter {

	private static final Logger logger = Logger.getLogger(CallerChannel.class);

	/** Messages that a caller may send ahead before it isn't read any more. */
	private static final int MOST_AHEAD = 64;

	private static final int TOO_LARGE = 413;

	private static final int HEADERS_TOO_LARGE = 431;

	private static final int BAD_REQUEST = 400;

	private static final int TIMEOUT = 408;

	private final CallerServer server;

	private final Channel channel;

	private final Deque<Object> ahead = new ArrayDeque<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpRequest head;

	private ChannelReply reply;

	private Runnable gone = () -> {
	};

	private boolean refused;

	private boolean waiting = true;

	private Cancellable timer;

	CallerChannel(CallerServer server, Channel channel) {
		this.server = server;
		this.channel = channel;
		this.timer = server.loop().schedule(server.limits().idleTimeout(), this::idleTooLong);
	}

	void bytesArrived() {
		if (this.reply == null && this.waiting) {
			this.waiting = false;
			time(this.server.limits().headerTimeout(), this::headTooSlow);
		}
	}

	void closeIfIdle() {
		if (this.reply == null && this.head == null) {
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.refused) {
			ReferenceCountUtil.release(message);
		}
		else if (this.reply != null) {
			this.ahead.add(message);
			if (this.ahead.size() >= MOST_AHEAD) {
				this.channel.config().setAutoRead(false);
			}
		}
		else {
			take(message);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.channel.isWritable() && this.reply != null) {
			this.reply.writable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.timer.cancel();
		this.server.closed(this);
		this.ahead.forEach(ReferenceCountUtil::release);
		this.ahead.clear();
		if (this.reply != null) {
			this.reply.gone();
			this.gone.run();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			logger.warn("A caller's connection failed", cause);
		}
		context.close();
	}

	/**
	 * The answer to the request at hand has ended.
	 * @param close whether the connection ends with it
	 */
	void answered(boolean close) {
		this.reply = null;
		this.gone = () -> {
		};
		if (close) {
			this.refused = true;
			return;
		}
		this.waiting = true;
		time(this.server.limits().idleTimeout(), this::idleTooLong);
		while (this.reply == null && !this.refused && !this.ahead.isEmpty()) {
			bytesArrived();
			take(this.ahead.poll());
		}
		this.channel.config().setAutoRead(true);
	}

	Channel channel() {
		return this.channel;
	}

	boolean leaving() {
		return this.server.leaving();
	}

	private void take(Object message) {
		try {
			if (message instanceof HttpRequest request) {
				begin(request);
			}
			if (message instanceof HttpContent content && !this.refused) {
				add(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void begin(HttpRequest request) {
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
		this.body.reset();
		time(this.server.bodyTimeout(), this::bodyTooSlow);
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void add(HttpContent content) {
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
			hand();
		}
	}

	private void hand() {
		HttpRequest request = this.head;
		this.head = null;
		this.timer.cancel();
		CallerRequest read;
		try {
			read = this.server.dialect().request(request, this.body.toByteArray());
		}
		catch (WireDialect.BadRequestException ex) {
			logger.debugf("Refused a request: %s", ex.getMessage());
			refuse(BAD_REQUEST);
			return;
		}
		this.body.reset();
		this.reply = new ChannelReply(this, request);
		ChannelReply current = this.reply;
		Runnable whenGone = this.server.requests().take(read, current);
		if (this.reply == current) {
			this.gone = whenGone;
		}
	}

	private void refuse(int status) {
		this.refused = true;
		this.head = null;
		this.timer.cancel();
		ChannelReply.refuse(this.channel, status);
	}

	private void time(Duration limit, Runnable task) {
		this.timer.cancel();
		this.timer = this.server.loop().schedule(limit, task);
	}

	private void headTooSlow() {
		if (this.reply == null && this.head == null) {
			refuse(TIMEOUT);
		}
	}

	private void bodyTooSlow() {
		if (this.head != null) {
			refuse(TIMEOUT);
		}
	}

	private void idleTooLong() {
		closeIfIdle();
	}

}
