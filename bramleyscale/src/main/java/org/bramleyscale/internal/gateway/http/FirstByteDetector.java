package org.bramleyscale.internal.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notifies a caller's channel of incoming bytes before they are decoded.
 *
 * <p>
 * Without it a caller that sends its header block one byte at a time would count as idle
 * and not as slow, and could hold a connection indefinitely. Confined to the channel's
 * thread.
 */
final class FirstByteDetector extends ChannelInboundHandlerAdapter {

	private final CallerChannel caller;

	FirstByteDetector(CallerChannel caller) {
		this.caller = caller;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.caller.bytesArrived();
		context.fireChannelRead(message);
	}

}
