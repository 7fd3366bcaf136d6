package org.bramleyscale.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The thread on which the sockets towards peers are read and written.
 *
 * <p>
 * On a thread of their own each message wakes two threads, one here and the scheduler's.
 * With 39 peers that was half of what an idle daemon spent, so a daemon whose scheduler
 * is itself an event loop shares it. Immutable and safe for use by multiple threads.
 *
 * @param group the event loops
 * @param channel the type of connections
 * @param serverChannel the type of the listening socket
 * @param shared whether others use the loops too, so that they outlive the network
 */
public record PeerLoops(EventLoopGroup group, Class<? extends Channel> channel,
		Class<? extends ServerChannel> serverChannel, boolean shared) {

	/**
	 * A thread for peers alone.
	 * @return new loops, to be shut down by the network
	 */
	public static PeerLoops own() {
		return new PeerLoops(new NioEventLoopGroup(1, new DefaultThreadFactory("peer", true)), NioSocketChannel.class,
				NioServerSocketChannel.class, false);
	}

}
