package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
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
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * One thread for all of a daemon's relaying: its sockets and its decisions.
 *
 * <p>
 * On a small VM a second thread gains nothing, and each hand-over costs two wake-ups a
 * request. Invariant: an exception in one task is logged and never ends the thread. Safe
 * for use by multiple threads.
 */
public final class NettyLoop implements Scheduler, AutoCloseable {

	private static final Logger logger = Logger.getLogger(NettyLoop.class);

	private final boolean epoll = Epoll.isAvailable();

	private final EventLoopGroup group;

	private final EventLoop loop;

	public NettyLoop(String name) {
		DefaultThreadFactory threads = new DefaultThreadFactory(name, true);
		this.group = this.epoll ? new EpollEventLoopGroup(1, threads) : new NioEventLoopGroup(1, threads);
		this.loop = this.group.next();
	}

	@Override
	public long nanos() {
		return System.nanoTime();
	}

	@Override
	public Instant wallTime() {
		return Instant.now();
	}

	@Override
	public void execute(Runnable task) {
		if (!this.loop.isShuttingDown()) {
			this.loop.execute(guarded(task));
		}
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		if (this.loop.isShuttingDown()) {
			return () -> {
			};
		}
		Future<?> future = this.loop.schedule(guarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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

	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				logger.error("A task of the event loop failed", ex);
			}
		};
	}

}
