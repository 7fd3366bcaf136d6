package org.bramleyscale.internal.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.Incarnation;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.internal.http.EntryServer;
import org.bramleyscale.internal.http.EntrySettings;
import org.bramleyscale.internal.http.HttpEngineClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.TcpPeerNetwork;
import org.bramleyscale.internal.peer.TcpPeerSettings;
import org.bramleyscale.internal.platform.HttpObjectStore;
import org.bramleyscale.internal.status.OperatorAccess;
import org.bramleyscale.internal.status.OperatorBackend;
import org.bramleyscale.internal.status.OperatorHandlers;
import org.bramleyscale.internal.status.ProblemThresholds;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.EventLoop;
import org.jboss.logging.Logger;

/**
 * One daemon: its slices with their sockets and threads.
 *
 * <p>
 * Invariant: slices are called on the event loop only. The public methods may be called
 * from any thread.
 */
public final class Node implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(Node.class);

	private static final Duration LAST_WRITES = Duration.ofMillis(200);

	private final Settings settings;

	private final PeerIdentity identity;

	private final MetricRegistry metrics = new MetricRegistry();

	private final EventLoop loop;

	private final HttpExecution http;

	private final TcpPeerNetwork tcp;

	private final HttpEngineClient engines;

	private final NodeSlices slices;

	private final EntryServer entry;

	private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

	private Node(Settings settings, EventLoop loop) {
		this.settings = settings;
		this.loop = loop;
		this.identity = identity();
		this.http = new HttpExecution(loop);
		SplittableRandom random = new SplittableRandom();
		this.tcp = new TcpPeerNetwork(peerSettings(), loop, new MessageCodec(NodeMessages.catalog()), random,
				this.metrics);
		this.engines = new HttpEngineClient(loop, this.http, settings.value(SettingKey.CONNECT_TIMEOUT));
		this.slices = new NodeSlices(new NodePorts(this.identity, loop, random, this.tcp, objectStore(), this.engines,
				this.metrics, List.of(this.tcp, new EntryState()), this::end), settings);
		this.entry = entryServer();
	}

	/**
	 * Makes a daemon that doesn't listen yet.
	 * <p>
	 * Slices schedule work while they are made. They are therefore made on the event
	 * loop, so that no such work meets a daemon that is half made.
	 * @param settings the daemon's settings
	 * @return the daemon
	 */
	public static Node create(Settings settings) {
		EventLoop loop = new EventLoop("bramleyscale-" + settings.vm());
		return CompletableFuture.supplyAsync(() -> new Node(settings, loop), loop::execute).join();
	}

	/**
	 * Starts to listen and to take part.
	 * @throws Exception if an address can't be used
	 */
	public void start() throws Exception {
		onLoop(() -> this.tcp.start(this.slices.membership().directory()));
		this.loop.execute(this.slices::start);
		this.entry.start();
		logger.infof("Daemon %s listens for callers on %s and for peers on %s", this.identity.incarnation(),
				this.settings.httpAddress(), this.settings.peerAddress());
	}

	/**
	 * Begins the planned stop.
	 * @return completes when the daemon has ended, with true if every request had ended
	 */
	public CompletableFuture<Boolean> leave() {
		this.loop.execute(() -> this.slices.beginLeave("its own process"));
		return ended();
	}

	/**
	 * Completes when the daemon has ended.
	 * @return as {@link #leave()} says
	 */
	public CompletableFuture<Boolean> ended() {
		return this.ended.copy();
	}

	/**
	 * Ends at once, as a dying process would.
	 */
	@Override
	public void close() {
		try {
			this.entry.stop();
		}
		catch (Exception ex) {
			logger.warn("The HTTP server did not stop cleanly", ex);
		}
		this.tcp.close();
		this.loop.close();
		this.http.close();
		this.ended.complete(false);
	}

	private void end(boolean complete) {
		// The last answers are written by other threads; closing in the same turn of the
		// loop would cut them, and a caller would see its stream end without its last
		// piece.
		this.loop.schedule(LAST_WRITES, () -> CompletableFuture.runAsync(() -> {
			this.ended.complete(complete);
			close();
		}));
	}

	private <T> T onLoop(Callable<T> task) throws Exception {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> {
			try {
				result.complete(task.call());
			}
			catch (Exception ex) {
				result.completeExceptionally(ex);
			}
		});
		try {
			return result.get();
		}
		catch (ExecutionException ex) {
			throw (ex.getCause() instanceof Exception cause) ? cause : ex;
		}
	}

	private EntryServer entryServer() {
		OperatorBackend backend = new NodeOperatorBackend(this.slices);
		return EntryServer.builder()
			.address(socketAddress(this.settings.httpAddress()))
			.scheduler(this.loop)
			.configuration(this.slices.configuration())
			.addresses(this.slices.addresses())
			.requests(this.slices.requests())
			.settings(entrySettings())
			.metrics(this.metrics)
			.handlers(new OperatorHandlers(backend, operatorAccess(), this.metrics, ProblemThresholds.DEFAULT))
			.build();
	}

	private HttpObjectStore objectStore() {
		return new HttpObjectStore(this.loop, this.http, this.settings.platformUrl().getAuthority(),
				this.settings.value(SettingKey.PLATFORM_CALL_TIMEOUT), this.metrics);
	}

	private PeerIdentity identity() {
		Incarnation incarnation = new Incarnation(this.settings.vm(), this.loop.wallTime().toEpochMilli());
		return new PeerIdentity(incarnation, this.settings.dataCentre(), this.settings.peerAddress().toString(),
				this.settings.httpAddress().toString());
	}

	private TcpPeerSettings peerSettings() {
		return TcpPeerSettings.builder()
			.identity(this.identity)
			.listen(socketAddress(this.settings.peerAddress()))
			.key(this.settings.peerKey().getBytes(StandardCharsets.UTF_8))
			.maxFrameBytes(this.settings.value(SettingKey.MAX_FRAME_BYTES))
			.maxQueuedBytes(this.settings.value(SettingKey.MAX_QUEUED_BYTES))
			.build();
	}

	private EntrySettings entrySettings() {
		EntrySettings defaults = EntrySettings.DEFAULT;
		return new EntrySettings(defaults.threads(), this.settings.value(SettingKey.MAX_BODY_BYTES),
				defaults.streamBufferBytes(), defaults.keepAlive(), defaults.idle());
	}

	private OperatorAccess operatorAccess() {
		return OperatorAccess.builder()
			.keyHash(this.settings.operatorKeyHash())
			.readKeyHash(this.settings.value(SettingKey.OPERATOR_READ_KEY_HASH))
			.openStatusPage(this.settings.value(SettingKey.OPEN_STATUS_PAGE))
			.build();
	}

	private static InetSocketAddress socketAddress(HostAndPort address) {
		return new InetSocketAddress(address.getHost(), address.getPort());
	}

	/**
	 * The state of the HTTP server, which is made after the slices that it serves.
	 */
	private final class EntryState implements StateDump {

		@Override
		public String name() {
			return "entry";
		}

		@Override
		public Object dump() {
			return Node.this.entry.state().dump();
		}

	}

}
