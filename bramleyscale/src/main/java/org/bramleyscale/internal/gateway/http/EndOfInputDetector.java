package org.bramleyscale.internal.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Tells a connection that its other end has sent its last byte.
 *
 * <p>
 * It stands before the decoder, which ends a response without a length at any end of the
 * connection, also if this side has closed it. Needs a channel that may be half closed.
 * Confined to the loop's thread.
 */
final class EndOfInputDetector extends ChannelInboundHandlerAdapter {

	private final BackendChannel connection;

	EndOfInputDetector(BackendChannel connection) {
		this.connection = connection;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (event instanceof ChannelInputShutdownEvent) {
			this.connection.inputEnded();
		}
		super.userEventTriggered(context, event);
	}

}
