package org.bramleyscale.internal.gateway.http;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.epoll.EpollChannelOption;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.reachability.ConnectionCheck;
import org.bramleyscale.internal.gateway.reachability.ConnectionObserver;
import org.bramleyscale.internal.gateway.reachability.ConnectionOutcome;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * A pool of connections to endpoints, with one request at a time on each.
 *
 * <p>
 * Invariants: a request that may run at most once gets a new connection, since on a
 * reused one that turns out to be dead it is unknown whether the bytes arrived; so does
 * one without an id; a connection is reused only while all bytes read on it belong to
 * whole responses; a connection to an earlier start of an endpoint isn't used for a later
 * one, which would only reset it. Confined to the loop's thread.
 */
public final class BackendConnectionPool implements BackendClient, ConnectionCheck {

	/**
	 * How long connecting may take. Endpoints are at most 2 ms away and accept in 1 ms;
	 * one that takes longer is down or overloaded. Nothing has been sent at that point,
	 * so another endpoint can serve the request.
	 */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	/** When a connection counts as dead. A sound endpoint may be silent for a while. */
	static final TcpLiveness LIVENESS = new TcpLiveness(Duration.ofMillis(2_500), Duration.ofSeconds(1),
			Duration.ofSeconds(1));

	/**
	 * The operating system's message if nothing listens on the port; a connect timeout
	 * has the same exception type.
	 */
	private static final String REFUSED_MESSAGE = "Connection refused";

	private final NettyLoop loop;

	private final WireDialect dialect;

	private final IdleConnections idle;

	private ConnectionObserver observer = ConnectionObserver.NONE;

	private long openedCount;

	private long reusedCount;

	/**
	 * Creates a pool without connections.
	 * @param loop the daemon's loop
	 * @param dialect writes requests and reads responses
	 * @param log receives a line when no connection is kept to an endpoint any more
	 */
	public BackendConnectionPool(NettyLoop loop, WireDialect dialect, DecisionLog log) {
		this.loop = loop;
		this.dialect = dialect;
		this.idle = new IdleConnections(loop, log);
	}

	/**
	 * Sets the observer of new connections.
	 * @param connectionObserver notified of the outcome of each
	 */
	public void onConnection(ConnectionObserver connectionObserver) {
		this.observer = connectionObserver;
	}

	@Override
	public BackendExchange send(Backend to, OutgoingRequest request, BackendListener listener) {
		BackendCall call = new BackendCall(this.dialect, to, request, listener);
		BackendChannel reused = (request.freshConnection() || !request.named()) ? null : this.idle.take(to.start());
		if (reused != null) {
			this.reusedCount++;
			this.loop.execute(() -> {
				if (reused.isReusable()) {
					reused.send(call);
				}
				else {
					connect(to, call);
				}
			});
		}
		else {
			this.openedCount++;
			connect(to, call);
		}
		return call;
	}

	@Override
	public CompletableFuture<ConnectionOutcome> connect(Backend endpoint) {
		CompletableFuture<ConnectionOutcome> result = new CompletableFuture<>();
		bootstrap().handler(new ChannelInboundHandlerAdapter())
			.connect(endpoint.address().getHost(), endpoint.address().getPort())
			.addListener((ChannelFuture future) -> {
				future.channel().close();
				result.complete(outcome(future));
			});
		return result;
	}

	private static ConnectionOutcome outcome(ChannelFuture future) {
		if (future.isSuccess()) {
			return ConnectionOutcome.ACCEPTED;
		}
		return isRefusal(future.cause()) ? ConnectionOutcome.REFUSED : ConnectionOutcome.FAILED;
	}

	private static boolean isRefusal(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
				&& cause.getMessage().contains(REFUSED_MESSAGE);
	}

	/**
	 * Returns the number of connections that were opened.
	 * @return the number
	 */
	public long openedCount() {
		return this.openedCount;
	}

	/**
	 * Returns the number of requests sent on a reused connection.
	 * @return the number
	 */
	public long reusedCount() {
		return this.reusedCount;
	}

	private void connect(Backend to, BackendCall call) {
		if (call.finished()) {
			return;
		}
		Bootstrap bootstrap = bootstrap().option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					BackendChannel.addTo(channel, to.start(), BackendConnectionPool.this.idle);
				}

			});
		if (this.loop.epoll()) {
			bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, LIVENESS.userTimeoutMillis())
				.option(EpollChannelOption.TCP_KEEPIDLE, LIVENESS.idleSeconds())
				.option(EpollChannelOption.TCP_KEEPINTVL, LIVENESS.intervalSeconds());
		}
		long startedAt = this.loop.nanos();
		ChannelFuture connected = bootstrap.connect(to.address().getHost(), to.address().getPort());
		call.connectFuture(connected);
		connected.addListener((future) -> {
			if (future.isSuccess()) {
				this.observer.connected(to);
				connected.channel().pipeline().get(BackendChannel.class).send(call);
			}
			else {
				if (!future.isCancelled()) {
					this.observer.connectFailed(to, startedAt);
				}
				call.failed(false, "connect: " + future.cause().getMessage());
			}
		});
	}

	private Bootstrap bootstrap() {
		return new Bootstrap().group(this.loop.group())
			.channel(this.loop.channel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
	}

}
