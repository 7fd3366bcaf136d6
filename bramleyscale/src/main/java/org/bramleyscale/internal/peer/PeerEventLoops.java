package org.bramleyscale.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The event loops that read and write the sockets to peers.
 *
 * <p>
 * With a dedicated thread each message wakes two threads, this one and the scheduler's.
 * With 39 peers that took half of the CPU time of an idle daemon, so a daemon whose
 * scheduler is itself an event loop shares it. Immutable and safe for use by multiple
 * threads.
 *
 * @param group the event loops
 * @param channelType the channel type of connections
 * @param serverChannelType the channel type of the listening socket
 * @param shared whether the loops have other users, so that the network must not shut
 * them down
 */
public record PeerEventLoops(EventLoopGroup group, Class<? extends Channel> channelType,
		Class<? extends ServerChannel> serverChannelType, boolean shared) {

	/**
	 * Creates a dedicated thread for peers.
	 * @return new event loops, which the network shuts down
	 */
	public static PeerEventLoops dedicated() {
		return new PeerEventLoops(new NioEventLoopGroup(1, new DefaultThreadFactory("peer", true)),
				NioSocketChannel.class, NioServerSocketChannel.class, false);
	}

}
