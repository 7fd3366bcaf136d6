package org.bramleyscale.internal.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Withholds the end of responses that were broken off, before they are aggregated.
 *
 * <p>
 * The aggregator removes the transfer coding from a head that the decoder still consults,
 * which then takes the end of the connection for the end of a chunked response. Confined
 * to the loop's thread.
 */
final class WholeResponseFilter extends ChannelInboundHandlerAdapter {

	private final EndOfInputDetector input;

	private boolean delimited;

	WholeResponseFilter(EndOfInputDetector input) {
		this.input = input;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse head) {
			this.delimited = ResponseFraming.isDelimited(head, false);
		}
		if (message instanceof LastHttpContent && brokenOff()) {
			ReferenceCountUtil.release(message);
			return;
		}
		context.fireChannelRead(message);
	}

	private boolean brokenOff() {
		return this.delimited ? this.input.ended() : !this.input.closedByPeer();
	}

}
