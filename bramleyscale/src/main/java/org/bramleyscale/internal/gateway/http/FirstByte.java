package org.bramleyscale.internal.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Tells when bytes arrive, before the decoder makes anything of them.
 *
 * <p>
 * Without it a caller that sends its header block one byte at a time would look idle and
 * not slow, and could hold a connection for as long as it likes. Confined to the
 * channel's thread.
 */
final class FirstByte extends ChannelInboundHandlerAdapter {

	private final CallerChannel caller;

	FirstByte(CallerChannel caller) {
		this.caller = caller;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.caller.bytesArrived();
		context.fireChannelRead(message);
	}

}
