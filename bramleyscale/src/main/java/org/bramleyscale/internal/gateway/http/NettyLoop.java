package org.bramleyscale.internal.gateway.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.bramleyscale.internal.peer.PeerEventLoops;
import org.bramleyscale.internal.time.ExecutorScheduler;

/**
 * The single thread for all of a daemon's relaying: its sockets and its decisions.
 *
 * <p>
 * On a small VM a second thread gains nothing, and each hand-over between threads costs
 * two wake-ups per request. Safe for use by multiple threads.
 */
public final class NettyLoop extends ExecutorScheduler {

	private final EventLoopGroup group;

	private final boolean epoll;

	public NettyLoop(String name) {
		this(group(name));
	}

	/**
	 * Creates a loop that doesn't use the system's own transport, as on systems for which
	 * there is none.
	 * @param name the name of its thread
	 * @return the loop
	 */
	static NettyLoop portable(String name) {
		return new NettyLoop(new NioEventLoopGroup(1, new DefaultThreadFactory(name, true)));
	}

	private NettyLoop(EventLoopGroup group) {
		super(group.next());
		this.group = group;
		this.epoll = group instanceof EpollEventLoopGroup;
	}

	@Override
	protected boolean closed() {
		return this.group.isShuttingDown();
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Returns this loop for use by connections with peers.
	 * @return event loops that end with this one
	 */
	public PeerEventLoops forPeers() {
		return new PeerEventLoops(this.group, channel(), serverChannel(), true);
	}

	boolean epoll() {
		return this.epoll;
	}

	EventLoopGroup group() {
		return this.group;
	}

	Class<? extends ServerChannel> serverChannel() {
		return this.epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
	}

	Class<? extends Channel> channel() {
		return this.epoll ? EpollSocketChannel.class : NioSocketChannel.class;
	}

	private static EventLoopGroup group(String name) {
		DefaultThreadFactory threads = new DefaultThreadFactory(name, true);
		return Epoll.isAvailable() ? new EpollEventLoopGroup(1, threads) : new NioEventLoopGroup(1, threads);
	}

}
