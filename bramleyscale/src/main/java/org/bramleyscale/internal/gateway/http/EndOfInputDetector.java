package org.bramleyscale.internal.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Notes the end of a connection's input, and whether the other end has made it in an
 * orderly way.
 *
 * <p>
 * It stands before the decoder, which ends a response without a length at any end of the
 * connection, also if this side has closed it. Needs a channel that may be half closed.
 * Confined to the loop's thread.
 */
final class EndOfInputDetector extends ChannelInboundHandlerAdapter {

	private boolean failed;

	private boolean closedByPeer;

	private boolean ended;

	/**
	 * Whether there is nothing more to read, for whatever reason.
	 * @return true once the decoder has all bytes that have arrived
	 */
	boolean ended() {
		return this.ended;
	}

	/**
	 * Whether the other end has closed the connection after its last byte.
	 * @return false also after a reset and if this side has closed the connection
	 */
	boolean closedByPeer() {
		return this.closedByPeer;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.failed = true;
		context.fireExceptionCaught(cause);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			this.ended = true;
			this.closedByPeer = !this.failed;
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.ended = true;
		context.fireChannelInactive();
	}

}
