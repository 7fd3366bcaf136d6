package org.bramleyscale.internal.gateway.http;

import java.io.IOException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.jboss.logging.Logger;

/**
 * One connection to an endpoint.
 *
 * <p>
 * Endpoints may answer a request twice, or so late that the answer stands where the next
 * one's should. An answer to another request is dropped and the right one awaited, and
 * the connection isn't kept. An answer without a length ends with its connection, and
 * only an orderly end makes it whole. Confined to the loop's thread.
 */
final class BackendChannel extends SimpleChannelInboundHandler<HttpObject> {

	private static final Logger logger = Logger.getLogger(BackendChannel.class);

	private static final int FIRST_FINAL_STATUS = 200;

	private final BackendConnections connections;

	private final EndpointStart endpoint;

	private final Channel channel;

	private BackendCall call;

	private boolean answering;

	private boolean foreign;

	private boolean interim;

	private boolean keep = true;

	private String failure;

	BackendChannel(BackendConnections connections, EndpointStart endpoint, Channel channel) {
		this.connections = connections;
		this.endpoint = endpoint;
		this.channel = channel;
	}

	void begin(BackendCall call) {
		if (call.over()) {
			giveBack();
			return;
		}
		if (!this.channel.isActive()) {
			call.failed(false, "connection closed before the request was sent");
			return;
		}
		this.call = call;
		call.on(this);
		this.channel.writeAndFlush(call.message()).addListener((done) -> {
			if (!done.isSuccess()) {
				fail("write: " + done.cause().getMessage());
				this.channel.close();
			}
		});
	}

	boolean usable() {
		return this.keep && this.call == null && this.channel.isActive();
	}

	void close() {
		this.keep = false;
		this.channel.close();
	}

	void closeIfIdle() {
		if (this.call == null) {
			close();
		}
	}

	void reading(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			this.failure = "not an answer in the protocol: " + message.decoderResult().cause().getMessage();
			close();
			return;
		}
		if (message instanceof HttpResponse head) {
			begin(head);
		}
		if (message instanceof HttpContent content) {
			pass(content);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			logger.warnf(cause, "The connection to endpoint %s failed", this.endpoint);
		}
		this.failure = cause.toString();
		close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.keep = false;
		this.connections.gone(this.endpoint, this);
		fail((this.failure != null) ? this.failure : "connection closed by the endpoint");
	}

	private void begin(HttpResponse head) {
		this.interim = head.status().code() < FIRST_FINAL_STATUS;
		if (this.interim) {
			return;
		}
		this.foreign = this.call == null || !this.call.belongs(head);
		if (this.foreign) {
			// Nobody asked for it; whatever follows can't be trusted beyond this call.
			this.keep = false;
			if (this.call == null) {
				close();
			}
			return;
		}
		this.answering = true;
		this.keep = this.keep && HttpUtil.isKeepAlive(head);
		this.call.head(head);
	}

	private void pass(HttpContent content) {
		if (this.interim || this.foreign || this.call == null || !this.answering) {
			return;
		}
		if (this.failure != null) {
			// A reset also ends an answer without a length, but not as complete.
			return;
		}
		int length = content.content().readableBytes();
		if (length > 0) {
			byte[] data = new byte[length];
			content.content().readBytes(data);
			this.call.data(data);
		}
		if (content instanceof LastHttpContent && this.call != null) {
			BackendCall ended = this.call;
			this.call = null;
			this.answering = false;
			ended.complete();
			giveBack();
		}
	}

	private void giveBack() {
		if (usable()) {
			this.channel.config().setAutoRead(true);
			this.connections.keep(this.endpoint, this);
		}
		else {
			close();
		}
	}

	private void fail(String cause) {
		if (this.call != null) {
			BackendCall failed = this.call;
			this.call = null;
			failed.failed(true, cause);
		}
	}

}
