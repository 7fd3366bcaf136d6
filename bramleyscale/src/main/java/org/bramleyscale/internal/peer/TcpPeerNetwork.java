package org.bramleyscale.internal.peer;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Exchanges messages between daemons over TCP.
 *
 * <p>
 * A frame is a four-byte length and a MessagePack array. Sockets are handled and received
 * frames decoded on Netty's threads; connections are managed, messages encoded and
 * listeners called on the scheduler's thread. Methods of {@link PeerNetwork} are confined
 * to the scheduler's thread; {@link #start} and {@link #close} may be called from any
 * other.
 */
public final class TcpPeerNetwork implements PeerNetwork, StateDump, AutoCloseable {

	private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

	private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

	private static final int SHUTDOWN_TIMEOUT_SECONDS = 5;

	/** The amount that a link of 14 Mbit/s sends in 10 ms. */
	private static final int CONGESTION_THRESHOLD_BYTES = 16 * 1024;

	/**
	 * The size of each socket's send buffer in the kernel. A relay has some forty
	 * connections; larger buffers would together hold a second of traffic of a link of 14
	 * Mbit/s, which isn't counted as queued and which later messages can't overtake. It
	 * suffices for a connection of 10 Mbit/s with a round-trip time of 25 ms.
	 */
	private static final int SOCKET_SEND_BUFFER_BYTES = 32 * 1024;

	private static final int MAX_DUMPED_PEERS = 100;

	private static final int MAX_HANDSHAKES = 256;

	private final TcpPeerSettings settings;

	private final Scheduler scheduler;

	private final MessageCodec codec;

	private final RandomGenerator random;

	private final PeerCounters counters;

	private final PeerListeners listeners = new PeerListeners();

	private final SecureRandom nonceGenerator = new SecureRandom();

	private final PeerEventLoops eventLoops;

	private final AtomicInteger handshakes = new AtomicInteger();

	private PeerConnections connections;

	private Channel server;

	private Cancellable tickTimer = () -> {
	};

	/**
	 * Creates a network with a dedicated thread, without starting it.
	 * @param settings the settings
	 * @param scheduler the daemon's scheduler
	 * @param codec a codec whose catalog has the messages of {@link PeerMessages}
	 * @param random the source of jitter between dials
	 * @param metrics the registry for counts of connections and frames
	 */
	public TcpPeerNetwork(TcpPeerSettings settings, Scheduler scheduler, MessageCodec codec, RandomGenerator random,
			MetricRegistry metrics) {
		this(settings, PeerEventLoops.dedicated(), scheduler, codec, random, metrics);
	}

	/**
	 * Creates a network without starting it.
	 * @param settings the settings
	 * @param eventLoops the event loops of its sockets
	 * @param scheduler the daemon's scheduler
	 * @param codec a codec whose catalog has the messages of {@link PeerMessages}
	 * @param random the source of jitter between dials
	 * @param metrics the registry for counts of connections and frames
	 */
	public TcpPeerNetwork(TcpPeerSettings settings, PeerEventLoops eventLoops, Scheduler scheduler, MessageCodec codec,
			RandomGenerator random, MetricRegistry metrics) {
		this.settings = settings;
		this.eventLoops = eventLoops;
		this.scheduler = scheduler;
		this.codec = codec;
		this.random = random;
		this.counters = new PeerCounters(metrics, codec.catalog());
	}

	/**
	 * Starts to listen and to dial. Blocks until the address is bound, so it must not be
	 * called on an event loop of its sockets.
	 * @param directory the peers to connect to
	 * @return the bound port
	 * @throws ServingException if the address can't be bound
	 */
	public int start(PeerDirectory directory) throws ServingException {
		this.connections = new PeerConnections(new PeerEnvironment(this.settings.identity().incarnation().vm(),
				this.scheduler, this.random, directory, this::dial, this.settings.timings(),
				this.settings.maxQueuedBytes(), this.counters, this.codec.encode(new Ping())));
		this.server = bind();
		this.tickTimer = this.scheduler.repeat(TICK_INTERVAL, this.connections::tick);
		return ((InetSocketAddress) this.server.localAddress()).getPort();
	}

	@Override
	public boolean send(VmId to, PeerMessage message) {
		return this.connections != null && send(to, this.codec.encode(message));
	}

	/**
	 * {@inheritDoc} The message is encoded only once.
	 */
	@Override
	public void sendAll(Collection<VmId> to, PeerMessage message) {
		if (this.connections == null || to.isEmpty()) {
			return;
		}
		byte[] payload = this.codec.encode(message);
		to.forEach((vm) -> send(vm, payload));
	}

	private boolean send(VmId to, byte[] payload) {
		if (payload.length > this.settings.maxFrameBytes()) {
			this.counters.sendRefused();
			return false;
		}
		return this.connections.send(to, payload);
	}

	@Override
	public boolean congested(VmId to) {
		return this.connections != null && this.connections.queuedBytes(to) >= CONGESTION_THRESHOLD_BYTES;
	}

	@Override
	public Set<VmId> connected() {
		return (this.connections != null) ? this.connections.connected() : Set.of();
	}

	@Override
	public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
		this.listeners.add(type, listener);
	}

	@Override
	public String name() {
		return "peer";
	}

	@Override
	public Object dump() {
		return this.connections.summaries().stream().limit(MAX_DUMPED_PEERS).toList();
	}

	@Override
	public void close() {
		this.tickTimer.cancel();
		if (this.server != null) {
			this.server.close();
		}
		if (!this.eventLoops.shared()) {
			this.eventLoops.group()
				.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
				.awaitUninterruptibly();
		}
	}

	TcpPeerSettings settings() {
		return this.settings;
	}

	MessageCodec codec() {
		return this.codec;
	}

	PeerCounters counters() {
		return this.counters;
	}

	ByteBuf frame(PeerMessage message) {
		return Unpooled.wrappedBuffer(this.codec.encode(message));
	}

	/**
	 * Counts a connection whose handshake begins.
	 * @return false if too many handshakes are in progress, so that the connection must
	 * be closed
	 */
	boolean tryBeginHandshake() {
		return this.handshakes.incrementAndGet() <= MAX_HANDSHAKES;
	}

	void endHandshake() {
		this.handshakes.decrementAndGet();
	}

	void opened(PeerLink link) {
		this.scheduler.execute(() -> this.connections.opened(link));
	}

	void closed(PeerLink link, Handshake handshake) {
		if (link != null) {
			this.scheduler.execute(() -> this.connections.closed(link));
		}
		else if (handshake.dialled()) {
			this.scheduler.execute(() -> this.connections.dialFailed(handshake.target()));
		}
	}

	void received(PeerLink link, PeerMessage message, Runnable delivered) {
		this.scheduler.execute(() -> {
			delivered.run();
			boolean heartbeat = message instanceof Ping;
			this.counters.received(message);
			if (this.connections.received(link, !heartbeat) && !heartbeat) {
				this.listeners.deliver(link.remote().incarnation(), message);
			}
		});
	}

	private Channel bind() throws ServingException {
		ChannelFuture bound = new ServerBootstrap().group(this.eventLoops.group())
			.channel(this.eventLoops.serverChannelType())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, SOCKET_SEND_BUFFER_BYTES)
			.childHandler(initializer(null, false))
			.bind(this.settings.listen())
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new ServingException(ErrorCode.INTERNAL, Ran.NO, Step.CONNECT, "self",
					"can't listen for peers on " + this.settings.listen() + ": " + bound.cause().getMessage());
		}
		return bound.channel();
	}

	private void dial(VmId vm, String address, boolean replacing) {
		InetSocketAddress target;
		try {
			HostAndPort hostAndPort = HostAndPort.fromString(address);
			target = InetSocketAddress.createUnresolved(hostAndPort.getHost(), hostAndPort.getPort());
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			this.scheduler.execute(() -> this.connections.dialFailed(vm));
			return;
		}
		new Bootstrap().group(this.eventLoops.group())
			.channel(this.eventLoops.channelType())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_SNDBUF, SOCKET_SEND_BUFFER_BYTES)
			.handler(initializer(vm, replacing))
			.connect(target)
			.addListener((done) -> {
				if (!done.isSuccess()) {
					this.scheduler.execute(() -> this.connections.dialFailed(vm));
				}
			});
	}

	private ChannelInitializer<SocketChannel> initializer(VmId target, boolean replacing) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				Hello hello = new Hello(nonce(), TcpPeerNetwork.this.settings.identity(), replacing);
				Handshake handshake = new Handshake(TcpPeerNetwork.this.settings.key(), TcpPeerNetwork.this.codec,
						hello, target);
				channel.pipeline()
					.addLast(PeerChannel.DECODER, PeerChannel.decoder(Handshake.MAX_FRAME_BYTES))
					.addLast(new LengthFieldPrepender(PeerChannel.LENGTH_BYTES))
					.addLast(new PeerChannel(TcpPeerNetwork.this, handshake, hello));
			}

		};
	}

	private byte[] nonce() {
		byte[] nonce = new byte[Handshake.NONCE_BYTES];
		this.nonceGenerator.nextBytes(nonce);
		return nonce;
	}

}
