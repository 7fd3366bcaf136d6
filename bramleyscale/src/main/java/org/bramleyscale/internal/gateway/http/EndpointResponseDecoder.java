package org.bramleyscale.internal.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on one connection to an endpoint, and counts the bytes that
 * belong to no whole response.
 *
 * <p>
 * Confined to the loop's thread.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_INITIAL_LINE_LENGTH = 8_192;

	private static final int MAX_HEADER_SIZE = 65_536;

	private static final int MAX_CHUNK_SIZE = 16_384;

	private static final int FIRST_FINAL_STATUS = 200;

	private boolean headOnly;

	private long received;

	private long accounted;

	EndpointResponseDecoder() {
		super(MAX_INITIAL_LINE_LENGTH, MAX_HEADER_SIZE, MAX_CHUNK_SIZE);
	}

	/**
	 * Sets whether the next final response has no body.
	 * @param on true if its request asks for the head only
	 */
	void expectHeadOnly(boolean on) {
		this.headOnly = on;
	}

	/**
	 * Records that the message which was just passed on is the end of a response.
	 */
	void responseEnded() {
		this.accounted = this.received - actualReadableBytes();
	}

	/**
	 * Returns the number of bytes read since the last whole response.
	 * @return the number, including bytes that aren't decoded yet
	 */
	long bytesSinceResponse() {
		return this.received - this.accounted;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (message instanceof ByteBuf bytes) {
			this.received += bytes.readableBytes();
		}
		super.channelRead(context, message);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean isFinal = ((HttpResponse) message).status().code() >= FIRST_FINAL_STATUS;
		return (isFinal && this.headOnly) || super.isContentAlwaysEmpty(message);
	}

}
