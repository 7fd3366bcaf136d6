package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import org.bramleyscale.internal.gateway.catalog.CallerLimits;
import org.bramleyscale.internal.gateway.request.CallerRequestHandler;
import org.bramleyscale.internal.gateway.request.OpenRequests;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Accepts connections from callers.
 *
 * <p>
 * Confined to the loop's thread, except for {@link #listen}, which blocks and must be
 * called from another thread.
 */
public final class CallerServer {

	private static final int MAX_INITIAL_LINE_LENGTH = 8_192;

	private static final int MAX_CHUNK_SIZE = 8_192;

	/**
	 * Number of connections that may wait to be accepted: a burst of all callers of a
	 * small site.
	 */
	private static final int BACKLOG = 1_024;

	private final Scheduler scheduler;

	private final OpenRequests openRequests;

	private final CallerRequestHandler requests;

	private final WireDialect dialect;

	private final Supplier<CallerLimits> limits;

	private final Set<CallerChannel> channels = new HashSet<>();

	private boolean leaving;

	private boolean closed;

	private Channel server;

	/**
	 * Creates a server that doesn't listen yet.
	 * @param scheduler the daemon's scheduler
	 * @param openRequests records the requests that aren't answered yet
	 * @param requests handles the requests
	 * @param dialect reads the requests
	 * @param limits the limits in force
	 */
	public CallerServer(Scheduler scheduler, OpenRequests openRequests, CallerRequestHandler requests,
			WireDialect dialect, Supplier<CallerLimits> limits) {
		this.scheduler = scheduler;
		this.openRequests = openRequests;
		this.requests = requests;
		this.dialect = dialect;
		this.limits = limits;
	}

	/**
	 * Starts to listen.
	 * @param loop the scheduler's loop
	 * @param address the address
	 * @throws IOException if the address can't be bound
	 */
	public void listen(NettyLoop loop, InetSocketAddress address) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(loop.group())
			.channel(loop.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					accept(channel);
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("can't listen for callers on " + address, bound.cause());
		}
		this.server = bound.channel();
	}

	/**
	 * Makes each further response ask its caller to close the connection.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Stops accepting connections and closes those without a request.
	 */
	public void closeIdle() {
		this.closed = true;
		if (this.server != null) {
			this.server.close();
		}
		List.copyOf(this.channels).forEach(CallerChannel::closeIfIdle);
	}

	/**
	 * Returns the number of open connections from callers.
	 * @return the number
	 */
	public int connections() {
		return this.channels.size();
	}

	boolean leaving() {
		return this.leaving;
	}

	CallerRequestHandler requests() {
		return this.requests;
	}

	WireDialect dialect() {
		return this.dialect;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	OpenRequests openRequests() {
		return this.openRequests;
	}

	void channelClosed(CallerChannel channel) {
		this.channels.remove(channel);
	}

	/**
	 * Serves a connection that has been accepted.
	 * @param channel the connection
	 */
	public void accept(Channel channel) {
		if (this.closed) {
			channel.close();
			return;
		}
		// The decoder's limits for the request line and for the headers are separate.
		ServerRequestDecoder decoder = new ServerRequestDecoder(MAX_INITIAL_LINE_LENGTH, limits().headerBytes(),
				MAX_CHUNK_SIZE);
		ServerResponseEncoder encoder = new ServerResponseEncoder();
		CallerChannel caller = new CallerChannel(this, channel, decoder, encoder);
		this.channels.add(caller);
		channel.pipeline().addLast(new FirstByteDetector(caller)).addLast(decoder).addLast(encoder).addLast(caller);
	}

	/**
	 * Returns the time after which a body that isn't complete is rejected.
	 * @return the time
	 */
	Duration bodyTimeout() {
		return limits().idleTimeout();
	}

}
