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
 * it in an orderly way, after it had taken the request; a reset, and closing the
 * connection on this side, break the response off. What nobody needs (interim responses,
 * responses to other requests, the rest of one that was skipped) is read only up to a
 * bound, since it may have no end. Confined to the loop's thread.
 */
final class BackendChannel extends SimpleChannelInboundHandler<HttpObject> {

	private static final Logger logger = Logger.getLogger(BackendChannel.class);

	/** How long the rest of a response may take to arrive that nobody needs. */
	private static final Duration MAX_SKIP_TIME = Duration.ofSeconds(1);

	private final ConnectionOwner owner;

	private final EndpointStart endpoint;

	private final Channel channel;

	private final EndOfInputDetector input;

	private final ResponseDecoder decoder;

	private BackendCall call;

	private int requests;

	private boolean inResponse;

	private boolean delimited;

	private boolean success;

	private boolean interim;

	private boolean otherResponses;

	private boolean partOfHeadBounded;

	private final UnreadRequestCheck unreadRequest;

	private SkippedResponse other;

	private UnneededBytes unneeded = new UnneededBytes();

	private boolean reusable = true;

	private String failure;

	/**
	 * Adds the handlers of a connection to an endpoint to its channel.
	 * @param owner the owner of the connection
	 * @param endpoint the endpoint
	 * @param channel the channel, which may be half closed
	 */
	static void addTo(Channel channel, EndpointStart endpoint, ConnectionOwner owner) {
		EndOfInputDetector input = new EndOfInputDetector();
		ResponseDecoder decoder = new ResponseDecoder();
		channel.pipeline()
			.addLast(input)
			.addLast(decoder)
			.addLast(new HttpRequestEncoder())
			.addLast(new BackendChannel(owner, endpoint, channel, input, decoder));
	}

	private BackendChannel(ConnectionOwner owner, EndpointStart endpoint, Channel channel, EndOfInputDetector input,
			ResponseDecoder decoder) {
		this.input = input;
		this.decoder = decoder;
		this.owner = owner;
		this.endpoint = endpoint;
		this.channel = channel;
		this.unreadRequest = new UnreadRequestCheck(channel, owner);
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
		this.unneeded = new UnneededBytes();
		this.partOfHeadBounded = false;
		this.unreadRequest.written(false);
		call.assignChannel(this, this.requests++);
		this.decoder.requestSent(call.id(), call.headOnly());
		this.channel.writeAndFlush(call.toHttpRequest()).addListener((future) -> {
			this.unreadRequest.written(future.isSuccess());
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

	void setReading(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.failure != null) {
			return;
		}
		if (message.decoderResult().isFailure()) {
			failMalformed(message.decoderResult().cause());
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
		if (this.call == null && this.channel.isActive() && this.failure == null && !this.decoder.allAccounted()) {
			failByStrayBytes("a part of a response that nobody asked for");
		}
		else if (this.call == null && !this.reusable) {
			close();
		}
		else if (awaitsHead() && this.decoder.unaccountedBytes() > 0) {
			this.call.reached(ExchangeTrace.Stage.PART_OF_HEAD);
			if (!this.partOfHeadBounded && (this.requests > 1 || this.otherResponses)) {
				boundPartOfHead();
			}
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent && !this.unreadRequest.inProgress()) {
			close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof DecoderException) {
			failMalformed(cause);
			return;
		}
		if (!(cause instanceof IOException)) {
			logger.warnf(cause, "Connection to endpoint %s failed", this.endpoint);
		}
		fail(cause.toString());
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
					this.reusable = false;
					startOwnResponse(head, ExchangeTrace.Stage.UNNAMED_HEAD);
				}
				else {
					this.call.reached(ExchangeTrace.Stage.UNNAMED_HEAD);
					failByStrayBytes("a response that names no request");
				}
			}
			case OTHER_REQUEST -> startOtherResponse(head);
			case SEVERAL_REQUESTS -> failByStrayBytes("a response that names several requests");
		}
	}

	private void startInterimResponse(HttpResponse head) {
		this.unneeded.addInterimResponse().ifPresent(this::fail);
		if (this.call == null) {
			failByStrayBytes("an interim response that nobody asked for");
		}
		else if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			fail("a change of protocol that wasn't asked for");
		}
	}

	private void startOwnResponse(HttpResponse head, ExchangeTrace.Stage stage) {
		if (!ResponseFraming.isSupported(head)) {
			fail("a transfer coding that wasn't asked for");
			return;
		}
		this.inResponse = true;
		this.delimited = ResponseFraming.isDelimited(head, this.call.headOnly());
		this.success = head.status().codeClass() == HttpStatusClass.SUCCESS;
		this.reusable = this.reusable && HttpUtil.isKeepAlive(head);
		this.call.reached(stage);
		this.call.head(head);
	}

	private void startOtherResponse(HttpResponse head) {
		this.otherResponses = true;
		this.reusable = false;
		this.call.reached(ExchangeTrace.Stage.OTHER_RESPONSE);
		if (!ResponseFraming.isDelimited(head, this.call.headOnly())) {
			failByStrayBytes("a response to another request without end");
			return;
		}
		this.other = new SkippedResponse();
		SkippedResponse skipped = this.other;
		this.owner.schedule(MAX_SKIP_TIME, () -> {
			if (this.other == skipped) {
				failByStrayBytes("a response to another request that doesn't end");
			}
		});
	}

	private void forward(HttpContent content) {
		int length = content.content().readableBytes();
		if (this.other != null) {
			forwardOther(content);
			return;
		}
		if (this.call != null && this.call.finished()) {
			this.unneeded.add(length).ifPresent(this::fail);
		}
		if (this.interim || this.call == null || !this.inResponse) {
			return;
		}
		if (length > 0) {
			byte[] data = new byte[length];
			content.content().readBytes(data);
			this.call.data(data);
		}
		if (!(content instanceof LastHttpContent end) || this.call == null) {
			return;
		}
		if (this.delimited || (this.input.closedByPeer() && !this.success)) {
			endResponse(end);
		}
		else if (this.input.closedByPeer()) {
			BackendCall ending = this.call;
			this.unreadRequest.start(ending.length(), () -> endIfPending(ending, end), this::fail);
		}
	}

	private void endIfPending(BackendCall ending, LastHttpContent end) {
		if (this.call == ending) {
			endResponse(end);
		}
	}

	private void endResponse(LastHttpContent end) {
		// What stands in a trailer may be the head of another response.
		this.reusable = this.reusable && end.trailingHeaders().isEmpty();
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
		this.unneeded.add(content.content().readableBytes()).ifPresent(this::fail);
		if (this.other.swallows(content)) {
			failByStrayBytes("a response to another request that was broken off");
		}
		else if (content instanceof LastHttpContent) {
			this.other = null;
		}
	}

	/**
	 * Fails the call if the head of its response isn't whole after some time. On a
	 * connection that has carried requests it may be a part of an earlier response.
	 */
	private void boundPartOfHead() {
		BackendCall awaiting = this.call;
		this.partOfHeadBounded = true;
		this.owner.schedule(MAX_SKIP_TIME, () -> {
			if (this.call == awaiting && awaitsHead() && this.decoder.unaccountedBytes() > 0) {
				failByStrayBytes("a head that doesn't end");
			}
			else if (this.call == awaiting) {
				this.partOfHeadBounded = false;
			}
		});
	}

	private boolean awaitsHead() {
		return this.call != null && !this.inResponse && this.other == null;
	}

	private void failMalformed(Throwable cause) {
		String failure = "malformed response: " + cause.getMessage();
		if (this.call == null || this.call.trace().stage() != ExchangeTrace.Stage.HEAD) {
			failByStrayBytes(failure);
		}
		else {
			fail(failure);
		}
	}

	private void failByStrayBytes(String cause) {
		if (this.requests > 1 || this.call == null) {
			this.owner.strayBytes(this.endpoint, cause);
		}
		fail(cause);
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
		else if (this.reusable && this.delimited && !this.decoder.allAccounted()) {
			// The bytes that follow are decoded first, to know whether they are whole.
			this.reusable = false;
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

}
