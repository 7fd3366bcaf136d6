package org.bramleyscale.standins.http;

import java.net.InetAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.Channel;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * A server with one HTTP thread that can be killed with all its connections and started
 * again on the same port.
 *
 * <p>
 * Start and kill exclude each other; safe for use by multiple threads.
 */
public final class StandInServer {

	private final InetAddress address;

	private final int largestBody;

	private final Action<? super Chain> routes;

	private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

	private int port;

	private RatpackServer server;

	/**
	 * Creates a server that doesn't listen yet.
	 * @param address where to listen
	 * @param port the port; 0 means any free one, kept over restarts
	 * @param largestBody the largest body of a request, in bytes
	 * @param routes its handlers
	 */
	public StandInServer(InetAddress address, int port, int largestBody, Action<? super Chain> routes) {
		this.address = address;
		this.port = port;
		this.largestBody = largestBody;
		this.routes = routes;
	}

	/**
	 * Starts to listen.
	 * @throws Exception if the address can't be used
	 */
	public synchronized void start() throws Exception {
		this.server = RatpackServer.start(
				(spec) -> spec
					.serverConfig((config) -> config.address(this.address)
						.port(this.port)
						.threads(1)
						.maxContentLength(this.largestBody)
						.development(false)
						.registerShutdownHook(false))
					.handlers((chain) -> this.routes.execute(chain.all(this::remember))));
		this.port = this.server.getBindPort();
	}

	/**
	 * Stops listening and cuts all connections.
	 * @throws Exception if that fails
	 */
	public synchronized void kill() throws Exception {
		if (this.server != null) {
			this.channels.forEach(Channel::close);
			this.server.stop();
			this.server = null;
		}
	}

	public synchronized int port() {
		return this.port;
	}

	private void remember(Context context) {
		Channel channel = context.getDirectChannelAccess().getChannel();
		if (this.channels.add(channel)) {
			channel.closeFuture().addListener((future) -> this.channels.remove(channel));
		}
		context.next();
	}

}
