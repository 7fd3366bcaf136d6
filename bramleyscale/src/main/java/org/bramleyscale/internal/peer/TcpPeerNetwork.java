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
 * Messages between daemons over TCP.
 *
 * <p>
 * A frame is a four-byte length and a MessagePack array. Sockets and encoding of frames
 * stay on Netty's threads, decisions and deliveries on the scheduler's thread. Methods of
 * {@link PeerNetwork} are confined to the scheduler's thread; {@link #start} and
 * {@link #close} may be called from any other.
 */
public final class TcpPeerNetwork implements PeerNetwork, StateDump, AutoCloseable {

	private static final Duration TICK = Duration.ofMillis(250);

	private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

	private static final int CLOSE_SECONDS = 5;

	/** What a link of 14 Mbit/s sends in 10 ms. */
	private static final int CONGESTED_BYTES = 16 * 1024;

	/**
	 * What the kernel may hold of a connection. A relay has some forty; more than this in
	 * each would be a second of a link of 14 Mbit/s that nobody sees and nothing
	 * overtakes. It is still what a connection of 10 Mbit/s needs at 25 ms there and
	 * back.
	 */
	private static final int KERNEL_BYTES = 32 * 1024;

	private static final int DUMPED_PEERS = 100;

	private static final int MOST_GREETINGS = 256;

	private final TcpPeerSettings settings;

	private final Scheduler scheduler;

	private final MessageCodec codec;

	private final RandomGenerator random;

	private final PeerCounters counters;

	private final PeerListeners listeners = new PeerListeners();

	private final SecureRandom nonces = new SecureRandom();

	private final PeerLoops loops;

	private final AtomicInteger greetings = new AtomicInteger();

	private PeerConnections connections;

	private Channel server;

	private Cancellable ticks = () -> {
	};

	/**
	 * Makes a network with a thread of its own that isn't started.
	 * @param settings the settings
	 * @param scheduler the daemon's scheduler
	 * @param codec a codec whose catalog has the messages of {@link PeerMessages}
	 * @param random for the jitter of dials
	 * @param metrics where connections and frames are counted
	 */
	public TcpPeerNetwork(TcpPeerSettings settings, Scheduler scheduler, MessageCodec codec, RandomGenerator random,
			MetricRegistry metrics) {
		this(settings, PeerLoops.own(), scheduler, codec, random, metrics);
	}

	/**
	 * Makes a network that isn't started.
	 * @param settings the settings
	 * @param loops the thread for its sockets
	 * @param scheduler the daemon's scheduler
	 * @param codec a codec whose catalog has the messages of {@link PeerMessages}
	 * @param random for the jitter of dials
	 * @param metrics where connections and frames are counted
	 */
	public TcpPeerNetwork(TcpPeerSettings settings, PeerLoops loops, Scheduler scheduler, MessageCodec codec,
			RandomGenerator random, MetricRegistry metrics) {
		this.settings = settings;
		this.loops = loops;
		this.scheduler = scheduler;
		this.codec = codec;
		this.random = random;
		this.counters = new PeerCounters(metrics, codec.catalog());
	}

	/**
	 * Starts to listen and to dial; blocks until the address is bound, so it must not be
	 * called on the thread of its sockets.
	 * @param directory tells whom to dial
	 * @return the port bound
	 * @throws ServingException if the address can't be bound
	 */
	public int start(PeerDirectory directory) throws ServingException {
		this.connections = new PeerConnections(new PeerEnvironment(this.settings.identity().incarnation().vm(),
				this.scheduler, this.random, directory, this::dial, this.settings.times(),
				this.settings.mostQueuedBytes(), this.counters, this.codec.encode(new Ping())));
		this.server = bind();
		this.ticks = this.scheduler.repeat(TICK, this.connections::tick);
		return ((InetSocketAddress) this.server.localAddress()).getPort();
	}

	@Override
	public boolean send(VmId to, PeerMessage message) {
		return this.connections != null && send(to, this.codec.encode(message));
	}

	/**
	 * {@inheritDoc} The message is encoded once.
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
		if (payload.length > this.settings.largestFrame()) {
			this.counters.refusedSend();
			return false;
		}
		return this.connections.send(to, payload);
	}

	@Override
	public boolean congested(VmId to) {
		return this.connections != null && this.connections.queued(to) >= CONGESTED_BYTES;
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
		return this.connections.summaries().stream().limit(DUMPED_PEERS).toList();
	}

	@Override
	public void close() {
		this.ticks.cancel();
		if (this.server != null) {
			this.server.close();
		}
		if (!this.loops.shared()) {
			this.loops.group().shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
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
	 * Counts a connection whose greeting begins.
	 * @return false if so many greetings are under way that this one must be refused
	 */
	boolean greetingBegins() {
		return this.greetings.incrementAndGet() <= MOST_GREETINGS;
	}

	void greetingEnds() {
		this.greetings.decrementAndGet();
	}

	void opened(PeerLink link) {
		this.scheduler.execute(() -> this.connections.opened(link));
	}

	void ended(PeerLink link, Greeting greeting) {
		if (link != null) {
			this.scheduler.execute(() -> this.connections.closed(link));
		}
		else if (greeting.dialled()) {
			this.scheduler.execute(() -> this.connections.dialFailed(greeting.target()));
		}
	}

	void received(PeerLink link, PeerMessage message, Runnable delivered) {
		this.scheduler.execute(() -> {
			delivered.run();
			boolean heartbeat = message instanceof Ping;
			this.counters.received(message);
			if (this.connections.heard(link, !heartbeat) && !heartbeat) {
				this.listeners.deliver(link.remote().incarnation(), message);
			}
		});
	}

	private Channel bind() throws ServingException {
		ChannelFuture bound = new ServerBootstrap().group(this.loops.group())
			.channel(this.loops.serverChannel())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, KERNEL_BYTES)
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
		new Bootstrap().group(this.loops.group())
			.channel(this.loops.channel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_SNDBUF, KERNEL_BYTES)
			.handler(initializer(vm, replacing))
			.connect(target)
			.addListener((done) -> {
				if (!done.isSuccess()) {
					this.scheduler.execute(() -> this.connections.dialFailed(vm));
				}
			});
	}

	private ChannelInitializer<SocketChannel> initializer(VmId dialled, boolean replacing) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				Hello hello = new Hello(nonce(), TcpPeerNetwork.this.settings.identity(), replacing);
				Greeting greeting = new Greeting(TcpPeerNetwork.this.settings.key(), TcpPeerNetwork.this.codec, hello,
						dialled);
				channel.pipeline()
					.addLast(PeerChannel.DECODER, PeerChannel.decoder(Greeting.LARGEST_FRAME))
					.addLast(new LengthFieldPrepender(PeerChannel.LENGTH_BYTES))
					.addLast(new PeerChannel(TcpPeerNetwork.this, greeting, hello));
			}

		};
	}

	private byte[] nonce() {
		byte[] nonce = new byte[Greeting.NONCE_BYTES];
		this.nonces.nextBytes(nonce);
		return nonce;
	}

}
