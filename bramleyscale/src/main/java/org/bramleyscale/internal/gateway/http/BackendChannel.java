package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.time.Duration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.request.ExchangeTrace;
import org.jboss.logging.Logger;

/**
 * One connection to an endpoint.
 *
 * <p>
 * Faulty endpoints respond to a request twice, or so late that the response arrives in
 * place of the next one, and break such responses off. Invariants: the connection carries
 * a request only while all bytes read on it belong to whole responses to earlier ones; a
 * response is passed on only if it names the request of the call, or if the request has
 * no id or failed and nothing else was ever read. A response to another request is
 * dropped and the right one is awaited, unless the other one doesn't end. A response
 * without a length ends with its connection, and only if it was the endpoint that closed
 * it in an orderly way; a reset, and closing the connection on this side, break the
 * response off. What nobody needs (interim responses, responses to other requests, the
 * rest of one that was skipped) is read only up to a bound, since it may have no end.
 * Confined to the loop's thread.
 */
final class BackendChannel extends SimpleChannelInboundHandler<HttpObject> {

	private static final Logger logger = Logger.getLogger(BackendChannel.class);

	/** A sound endpoint sends one interim response at most, to 100-continue. */
	private static final int MAX_INTERIM_RESPONSES = 8;

	/** Bytes that are read and dropped for the sake of one call. */
	private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

	/** What a chunk counts at least, since each costs time however short it is. */
	private static final int MIN_CHUNK_BYTES = 64;

	/** How long the rest of a response may take to arrive that nobody needs. */
	private static final Duration MAX_SKIP_TIME = Duration.ofSeconds(1);

	private final Owner owner;

	private final EndpointStart endpoint;

	private final Channel channel;

	private final EndOfInputDetector input;

	private final ResponseDecoder decoder;

	private BackendCall call;

	private int requests;

	private boolean inResponse;

	private boolean delimited;

	private boolean interim;

	private boolean otherResponses;

	private SkippedResponse other;

	private int interimResponses;

	private int skippedBytes;

	private boolean reusable = true;

	private String failure;

	/**
	 * Adds the handlers of a connection to an endpoint to its channel.
	 * @param owner the owner of the connection
	 * @param endpoint the endpoint
	 * @param channel the channel, which may be half closed
	 */
	static void addTo(Channel channel, EndpointStart endpoint, Owner owner) {
		EndOfInputDetector input = new EndOfInputDetector();
		ResponseDecoder decoder = new ResponseDecoder();
		channel.pipeline()
			.addLast(input)
			.addLast(decoder)
			.addLast(new HttpRequestEncoder())
			.addLast(new BackendChannel(owner, endpoint, channel, input, decoder));
	}

	private BackendChannel(Owner owner, EndpointStart endpoint, Channel channel, EndOfInputDetector input,
			ResponseDecoder decoder) {
		this.input = input;
		this.decoder = decoder;
		this.owner = owner;
		this.endpoint = endpoint;
		this.channel = channel;
	}

	void send(BackendCall call) {
		if (call.finished()) {
			release();
			return;
		}
		if (!this.channel.isActive()) {
			call.failed(false, "connection closed before the request was sent");
			return;
		}
		this.call = call;
		this.interimResponses = 0;
		this.skippedBytes = 0;
		call.assignChannel(this, this.requests++);
		this.decoder.expectHeadOnly(call.headOnly());
		this.channel.writeAndFlush(call.toHttpRequest()).addListener((future) -> {
			if (!future.isSuccess()) {
				failCall("write: " + future.cause().getMessage());
				this.channel.close();
			}
		});
	}

	/**
	 * Reads the rest of the response without a listener, if it is short.
	 */
	void skipRest() {
		if (!this.delimited) {
			close();
			return;
		}
		BackendCall skipped = this.call;
		this.channel.config().setAutoRead(true);
		this.owner.schedule(MAX_SKIP_TIME, () -> {
			if (this.call == skipped) {
				close();
			}
		});
	}

	boolean isReusable() {
		return this.reusable && this.call == null && this.channel.isActive() && !this.input.ended()
				&& this.decoder.allAccounted();
	}

	void close() {
		this.reusable = false;
		this.channel.close();
	}

	void closeIfIdle() {
		if (this.call == null) {
			close();
		}
	}

	void setReading(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			this.failure = "malformed response: " + message.decoderResult().cause().getMessage();
			close();
			return;
		}
		if (message instanceof HttpResponse head) {
			startResponse(head);
		}
		if (message instanceof HttpContent content) {
			forward(content);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.call == null && !this.decoder.allAccounted()) {
			close();
		}
		else if (this.call != null && this.decoder.unaccountedBytes() > 0
				&& this.call.reached(ExchangeTrace.Stage.PART_OF_HEAD) && this.requests > 1) {
			boundPartOfHead();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof DecoderException) {
			this.failure = "malformed response: " + cause.getMessage();
		}
		else {
			this.failure = cause.toString();
			if (!(cause instanceof IOException)) {
				logger.warnf(cause, "Connection to endpoint %s failed", this.endpoint);
			}
		}
		close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.reusable = false;
		this.owner.remove(this.endpoint, this);
		failCall((this.failure != null) ? this.failure : "connection closed by the endpoint");
	}

	private void startResponse(HttpResponse head) {
		this.interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		if (this.interim) {
			startInterimResponse(head);
			return;
		}
		if (this.call == null) {
			close();
			return;
		}
		switch (this.call.ownerOf(head)) {
			case THIS_REQUEST -> startOwnResponse(head, ExchangeTrace.Stage.HEAD);
			case UNNAMED -> {
				if (this.requests == 1 && !this.otherResponses && this.call.acceptsUnnamed(head)) {
					startOwnResponse(head, ExchangeTrace.Stage.UNNAMED_HEAD);
				}
				else {
					this.call.reached(ExchangeTrace.Stage.UNNAMED_HEAD);
					fail("a response that names no request");
				}
			}
			case OTHER_REQUEST -> startOtherResponse(head);
		}
	}

	private void startInterimResponse(HttpResponse head) {
		this.interimResponses++;
		if (this.interimResponses > MAX_INTERIM_RESPONSES) {
			fail("more than " + MAX_INTERIM_RESPONSES + " interim responses");
		}
		else if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			fail("a change of protocol that wasn't asked for");
		}
	}

	private void startOwnResponse(HttpResponse head, ExchangeTrace.Stage stage) {
		this.inResponse = true;
		this.delimited = ResponseFraming.isDelimited(head, this.call.headOnly());
		this.reusable = this.reusable && HttpUtil.isKeepAlive(head);
		this.call.reached(stage);
		this.call.head(head);
	}

	private void startOtherResponse(HttpResponse head) {
		this.otherResponses = true;
		this.reusable = false;
		this.call.reached(ExchangeTrace.Stage.OTHER_RESPONSE);
		if (!ResponseFraming.isDelimited(head, this.call.headOnly())) {
			fail("a response to another request without end");
			return;
		}
		this.other = new SkippedResponse();
		SkippedResponse skipped = this.other;
		this.owner.schedule(MAX_SKIP_TIME, () -> {
			if (this.other == skipped) {
				fail("a response to another request that doesn't end");
			}
		});
	}

	private void forward(HttpContent content) {
		if (this.failure != null) {
			return;
		}
		int length = content.content().readableBytes();
		if (this.other != null) {
			forwardOther(content);
			return;
		}
		if (this.call != null && this.call.finished()) {
			skip(length);
		}
		if (this.interim || this.call == null || !this.inResponse) {
			return;
		}
		if (length > 0) {
			byte[] data = new byte[length];
			content.content().readBytes(data);
			this.call.data(data);
		}
		if (content instanceof LastHttpContent && this.call != null && (this.delimited || this.input.closedByPeer())) {
			endResponse();
		}
	}

	private void endResponse() {
		BackendCall endedCall = this.call;
		this.call = null;
		this.inResponse = false;
		if (this.delimited) {
			endedCall.complete();
		}
		else {
			endedCall.closed();
		}
		release();
	}

	private void forwardOther(HttpContent content) {
		skip(content.content().readableBytes());
		if (this.other.swallows(content)) {
			fail("a response to another request that was broken off");
		}
		else if (content instanceof LastHttpContent) {
			this.other = null;
		}
	}

	private void skip(int length) {
		this.skippedBytes += Math.max(MIN_CHUNK_BYTES, length);
		if (this.skippedBytes > MAX_SKIPPED_BYTES) {
			fail("more than " + MAX_SKIPPED_BYTES + " bytes that belong to no response");
		}
	}

	/**
	 * Fails the call if the head of its response isn't whole after some time. On a
	 * connection that has carried requests it may be a part of an earlier response.
	 */
	private void boundPartOfHead() {
		BackendCall awaiting = this.call;
		this.owner.schedule(MAX_SKIP_TIME, () -> {
			if (this.call == awaiting && awaiting.trace().stage() == ExchangeTrace.Stage.PART_OF_HEAD) {
				fail("a head that doesn't end");
			}
		});
	}

	private void fail(String cause) {
		this.failure = cause;
		close();
	}

	private void release() {
		if (isReusable()) {
			this.channel.config().setAutoRead(true);
			this.owner.release(this.endpoint, this);
		}
		else {
			close();
		}
	}

	private void failCall(String cause) {
		if (this.call != null) {
			BackendCall failedCall = this.call;
			this.call = null;
			failedCall.failed(true, cause);
		}
	}

	/**
	 * Keeps connections while they carry no request. Confined to the loop's thread.
	 */
	interface Owner {

		/**
		 * Takes back a connection whose request has been answered.
		 * @param endpoint the endpoint
		 * @param connection the connection, which may be used again
		 */
		void release(EndpointStart endpoint, BackendChannel connection);

		/**
		 * Called when a connection is closed.
		 * @param endpoint the endpoint
		 * @param connection the connection
		 */
		void remove(EndpointStart endpoint, BackendChannel connection);

		/**
		 * Runs a task later.
		 * @param delay the delay
		 * @param task the task
		 */
		void schedule(Duration delay, Runnable task);

	}

}
