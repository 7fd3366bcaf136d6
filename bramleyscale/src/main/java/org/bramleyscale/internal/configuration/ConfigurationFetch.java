package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Brings this daemon up to the newest version it has heard of.
 *
 * <p>
 * It asks peers that hold the version, latest heard first, and reads the platform's parts
 * when no peer delivers. Invariants: one source at a time, each with a time limit, so a
 * silent source delays but never ends the search; content is checked by its hash before
 * it is put in force. Confined to the scheduler's thread.
 */
final class ConfigurationFetch {

	private static final Logger logger = Logger.getLogger(ConfigurationFetch.class);

	/** How long a peer may be silent before the next one is asked. */
	static final Duration PEER_SILENCE = Duration.ofSeconds(1);

	/**
	 * How long a daemon that holds nothing waits for more peers to say what they hold.
	 */
	static final Duration START_WAIT = Duration.ofMillis(300);

	private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

	// When a whole fleet starts at once nobody holds anything. If every daemon read all
	// parts
	// then, the platform's rate would be used up for minutes; so the relays read, and the
	// others wait for a while to get the version from them.
	private static final int PAUSES_FOR_RELAYS = 6;

	private final Scheduler scheduler;

	private final ConfigurationState state;

	private final ConfigurationStore store;

	private final PeerNetwork network;

	private final Relays relays;

	private final HoldersView holders;

	private final Freshness freshness;

	private final Adopter adopter;

	private final Set<VmId> tried = new HashSet<>();

	private final VersionWaiters waiters;

	private long wanted;

	private Head knownHead = Head.NONE;

	private boolean busy;

	private int pauses;

	private Optional<VmId> source = Optional.empty();

	private SnapshotAssembly assembly = new SnapshotAssembly();

	private Cancellable timer = () -> {
	};

	ConfigurationFetch(Scheduler scheduler, ConfigurationState state, ConfigurationStore store, PeerNetwork network,
			Relays relays, HoldersView holders, Freshness freshness, Adopter adopter) {
		this.scheduler = scheduler;
		this.waiters = new VersionWaiters(scheduler);
		this.state = state;
		this.store = store;
		this.network = network;
		this.relays = relays;
		this.holders = holders;
		this.freshness = freshness;
		this.adopter = adopter;
	}

	/**
	 * Starts to fetch a version that some peer holds.
	 * @param version the version
	 */
	void wanted(long version) {
		this.wanted = Math.max(this.wanted, version);
		this.freshness.known(version);
		if (this.busy || this.state.version() >= this.wanted) {
			return;
		}
		if (this.state.version() == 0) {
			begin();
			restartTimer(START_WAIT, this::next);
		}
		else {
			next();
		}
	}

	/**
	 * Starts to fetch the version of a head.
	 * @param head the head
	 */
	void headSeen(Head head) {
		if (head.version() > this.knownHead.version()) {
			this.knownHead = head;
		}
		if (!applyInline(head)) {
			wanted(head.version());
		}
	}

	/**
	 * Waits until a version is held.
	 * @param version the version
	 * @param limit how long to wait
	 * @return true once it is held, false if it isn't in time
	 */
	CompletableFuture<Boolean> holding(long version, Duration limit) {
		if (this.state.version() >= version) {
			return CompletableFuture.completedFuture(true);
		}
		CompletableFuture<Boolean> held = this.waiters.await(version, limit);
		wanted(version);
		return held;
	}

	/**
	 * To be called after a version was put in force, wherever it came from.
	 */
	void adopted() {
		this.waiters.reached(this.state.version());
		if (this.state.version() >= this.wanted) {
			idle();
		}
	}

	void received(VmId from, ConfigurationChunk chunk) {
		if (!this.source.equals(Optional.of(from)) || chunk.version() <= this.state.version()) {
			return;
		}
		restartTimer(PEER_SILENCE, this::next);
		Optional<byte[]> whole = this.assembly.add(chunk);
		if (whole.isPresent()) {
			adopt(whole.get(), chunk);
		}
	}

	private void adopt(byte[] whole, ConfigurationChunk last) {
		try {
			SnapshotBody body = ConfigurationCodec.decode(whole, SnapshotBody.class);
			Snapshot snapshot = Snapshot.decode(last.version(), body.entries());
			if (!snapshot.hash().equals(last.hash())) {
				throw new IOException("content hash is " + snapshot.hash() + " where " + last.hash() + " is expected");
			}
			this.adopter.adopt(Arrival.whole(snapshot, body.history()));
		}
		catch (IOException ex) {
			logger.warnf("Version %d from %s can't be used: %s", last.version(), this.source.get(), ex.getMessage());
		}
		next();
	}

	private void next() {
		if (this.state.version() >= this.wanted) {
			idle();
			return;
		}
		begin();
		Optional<VmId> peer = this.holders.sources(this.wanted)
			.stream()
			.filter((vm) -> !this.tried.contains(vm))
			.findFirst();
		if (peer.isPresent()) {
			ask(peer.get());
		}
		else if (this.state.version() == 0 && !this.relays.isRelay() && this.pauses < PAUSES_FOR_RELAYS) {
			this.pauses++;
			restartTimer(RETRY_PAUSE, this::next);
		}
		else {
			readPlatform();
		}
	}

	private void ask(VmId peer) {
		this.tried.add(peer);
		this.source = Optional.of(peer);
		this.assembly = new SnapshotAssembly();
		boolean sent = this.network.send(peer,
				new ConfigurationRequest(this.state.version(), this.state.held().hash()));
		restartTimer(sent ? PEER_SILENCE : Duration.ZERO, this::next);
	}

	/**
	 * Asks a peer for its whole version, because its delta didn't lead to what it said.
	 * @param peer the peer
	 * @param version the version that it holds
	 */
	void askWhole(VmId peer, long version) {
		this.wanted = Math.max(this.wanted, version);
		begin();
		this.source = Optional.of(peer);
		this.assembly = new SnapshotAssembly();
		this.network.send(peer, new ConfigurationRequest(ConfigurationRequest.WHOLE, ContentHash.NONE));
		restartTimer(PEER_SILENCE, this::next);
	}

	private void readPlatform() {
		this.source = Optional.empty();
		this.timer.cancel();
		CompletableFuture<Head> head = (this.knownHead.version() >= this.wanted)
				? CompletableFuture.completedFuture(this.knownHead) : this.store.readHead().thenApply(StoredHead::head);
		head.thenCompose((known) -> {
			this.knownHead = known;
			return (known.version() > this.state.version()) ? this.store.readSnapshot(known, this.state.held())
					: CompletableFuture.completedFuture(this.state.held());
		}).whenComplete((snapshot, failure) -> this.scheduler.execute(() -> platformRead(snapshot, failure)));
	}

	private void platformRead(Snapshot snapshot, Throwable failure) {
		if (failure != null) {
			logger.debugf("The platform doesn't deliver the configuration: %s",
					ConfigurationStore.platformFailure(failure).getMessage());
			// The head may be outdated: its parts are deleted some time after its
			// successor.
			this.knownHead = Head.NONE;
		}
		else {
			this.adopter.adopt(Arrival.stored(snapshot, this.knownHead));
		}
		if (this.state.version() >= this.wanted) {
			idle();
			return;
		}
		this.tried.clear();
		restartTimer(RETRY_PAUSE, this::next);
	}

	private boolean applyInline(Head head) {
		boolean applicable = head.version() == this.state.version() + 1 && head.delta() != null;
		if (!applicable) {
			return false;
		}
		try {
			Snapshot next = this.state.held().with(head.version(), ConfigurationCodec.decodeEntries(head.delta()));
			return next.hash().equals(head.hash()) && this.adopter.adopt(Arrival.stored(next, head));
		}
		catch (IOException ex) {
			logger.warnf("The change in head %d can't be used: %s", head.version(), ex.getMessage());
			return false;
		}
	}

	private void begin() {
		this.busy = true;
		this.source = Optional.empty();
		this.timer.cancel();
	}

	private void idle() {
		this.busy = false;
		this.pauses = 0;
		this.source = Optional.empty();
		this.tried.clear();
		this.timer.cancel();
	}

	private void restartTimer(Duration delay, Runnable task) {
		this.timer.cancel();
		this.timer = this.scheduler.schedule(delay, task);
	}

}
