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
import io.netty.handler.codec.http.HttpServerCodec;
import org.bramleyscale.internal.gateway.catalog.CallerLimits;
import org.bramleyscale.internal.gateway.request.CallerRequests;

/**
 * Listens for callers.
 *
 * <p>
 * Confined to the loop's thread, except for {@link #listen}, which blocks and must be
 * called from another.
 */
public final class CallerServer {

	private static final int LONGEST_LINE = 8_192;

	private static final int CHUNK = 8_192;

	/**
	 * New connections that wait to be accepted: a burst of all callers of a small site.
	 */
	private static final int BACKLOG = 1_024;

	private final NettyLoop loop;

	private final CallerRequests requests;

	private final WireDialect dialect;

	private final Supplier<CallerLimits> limits;

	private final Set<CallerChannel> open = new HashSet<>();

	private boolean leaving;

	private Channel server;

	/**
	 * Makes a server that doesn't listen yet.
	 * @param loop the daemon's loop
	 * @param requests takes the requests
	 * @param dialect reads them
	 * @param limits the limits in force
	 */
	public CallerServer(NettyLoop loop, CallerRequests requests, WireDialect dialect, Supplier<CallerLimits> limits) {
		this.loop = loop;
		this.requests = requests;
		this.dialect = dialect;
		this.limits = limits;
	}

	/**
	 * Begins to listen.
	 * @param address the address
	 * @throws IOException if it can't be bound
	 */
	public void listen(InetSocketAddress address) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(this.loop.group())
			.channel(this.loop.serverChannel())
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
	 * From now on each answer asks its caller to close the connection.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Takes no new connections and closes those without a request.
	 */
	public void closeIdle() {
		if (this.server != null) {
			this.server.close();
		}
		List.copyOf(this.open).forEach(CallerChannel::closeIfIdle);
	}

	/**
	 * How many callers are connected.
	 * @return the number of connections
	 */
	public int connections() {
		return this.open.size();
	}

	boolean leaving() {
		return this.leaving;
	}

	CallerRequests requests() {
		return this.requests;
	}

	WireDialect dialect() {
		return this.dialect;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	NettyLoop loop() {
		return this.loop;
	}

	void closed(CallerChannel channel) {
		this.open.remove(channel);
	}

	private void accept(Channel channel) {
		CallerChannel caller = new CallerChannel(this, channel);
		this.open.add(caller);
		// The decoder counts the request line apart from the headers.
		channel.pipeline()
			.addLast(new FirstByte(caller))
			.addLast(new HttpServerCodec(LONGEST_LINE, limits().headerBytes(), CHUNK))
			.addLast(caller);
	}

	/**
	 * The time after which a body that doesn't go on is given up.
	 * @return the time
	 */
	Duration bodyTimeout() {
		return limits().idleTimeout();
	}

}
