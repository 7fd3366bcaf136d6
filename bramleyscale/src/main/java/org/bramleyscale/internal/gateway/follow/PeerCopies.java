package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Exchanges copies of platform objects between daemons.
 *
 * <p>
 * Few daemons query the store, and it may refuse single daemons while it serves the
 * others and the operator. A daemon that reads a change pushes it to the others. In
 * addition, every daemon periodically sends a digest of its copies to a few peers, and a
 * peer that knows more replies with what is missing, so that a lost push is repaired
 * within a few rounds. A peer whose connection is congested gets only the newest version
 * once the connection has drained, and no intermediate ones: 25 versions in two seconds
 * would queue for ten seconds on a link of 14 Mbit/s, and only the last of them matters.
 *
 * <p>
 * Invariants: a daemon replies only with changes that it knows without a gap. The age of
 * received copies is the age that the sender stated plus the queueing delay of the
 * message, and a message whose delay isn't known confirms nothing. Otherwise messages
 * that queue for seconds would look fresh, and since a daemon with fresh copies doesn't
 * query the store, a change would be delayed by as much as the queue. Confined to the
 * scheduler's thread.
 */
public final class PeerCopies {

	/** The interval between rounds of digests, which only repair lost pushes. */
	static final Duration DIGEST_INTERVAL = Duration.ofMillis(400);

	/** The peers that get a digest in one round; the others follow in later rounds. */
	static final int DIGESTS_PER_ROUND = 2;

	/**
	 * Peers that sent nothing for five rounds may have failed, be frozen or be cut off.
	 */
	static final Duration ISOLATED_AFTER = DIGEST_INTERVAL.multipliedBy(5);

	/** The delay after which the push of the first daemon in the order has arrived. */
	static final Duration DIGEST_DELAY = Duration.ofMillis(100);

	/** A peer whose confirmation is older by this missed a push or has just started. */
	private static final Duration STALE_BY = Duration.ofSeconds(1);

	/** The least gain in freshness that is worth a message to each daemon. */
	private static final Duration FRESHER_BY = Duration.ofMillis(200);

	/** The interval between requests for copies that this daemon doesn't have at all. */
	static final Duration MISSING_CHECK = Duration.ofMillis(50);

	/** The time after its start in which a daemon connects to its peers. */
	static final Duration MISSING_PERIOD = Duration.ofSeconds(2);

	/** The interval between checks whether congested connections have drained. */
	static final Duration CONGESTION_CHECK = Duration.ofMillis(20);

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final Map<String, ObjectCopies> kinds;

	private final UpdateRoutes routes;

	private final DecisionLog log;

	private final QueueingDelays delays;

	private final Set<VmId> congestedPeers = new HashSet<>();

	private long lastReceivedAt;

	private long lastOutageAt;

	private int nextPeer;

	private int nextMissing;

	private long startedAt;

	/**
	 * Creates the exchange.
	 * @param self the daemon
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to the peers
	 * @param kinds the copies by kind
	 * @param routes the recipients of updates
	 * @param log takes a line for each change received
	 */
	public PeerCopies(Incarnation self, Scheduler scheduler, PeerNetwork network, Map<String, ObjectCopies> kinds,
			UpdateRoutes routes, DecisionLog log) {
		this.scheduler = scheduler;
		this.network = network;
		this.kinds = Map.copyOf(kinds);
		this.routes = routes;
		this.log = log;
		this.delays = new QueueingDelays(self, scheduler, (peer, queueing, waitedMillis) -> log.belief("copies", "news",
				"queue", queueing, "from", peer, "waited_ms", waitedMillis));
		this.lastReceivedAt = scheduler.nanos();
		this.lastOutageAt = scheduler.nanos() - Duration.ofDays(1).toNanos();
		network.listen(CopiesDigest.class, this::receiveDigest);
		network.listen(CopiesUpdate.class, this::receiveCopies);
	}

	/**
	 * Registers the messages of this exchange.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		// Codes 101 and 102 belong to versions that compare revisions without their era.
		// Codes 109 and 110 belong to versions whose changes may lack removals.
		builder.add(113, CopiesDigest.class, "CopiesHeld").add(114, CopiesUpdate.class, "CopiesTold");
	}

	public void start() {
		this.startedAt = this.scheduler.nanos();
		this.lastReceivedAt = this.startedAt;
		this.scheduler.repeat(DIGEST_INTERVAL, this::sendDigests);
		sendDigests();
		requestMissing();
	}

	/**
	 * Requests exact copies that this daemon doesn't have at all from the peers that it
	 * has connected to: it sends nothing to endpoints before it has them, and the next
	 * round of digests may be 0.4 s away. Later rounds of digests also request them.
	 */
	private void requestMissing() {
		List<CopiesDigest.Held> missing = this.kinds.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().exact() && !entry.getValue().listed())
			.map((entry) -> digest(entry.getKey(), entry.getValue()))
			.toList();
		boolean started = this.scheduler.nanos() - this.startedAt > MISSING_PERIOD.toNanos();
		if (missing.isEmpty() || started) {
			return;
		}
		List<VmId> peers = List.copyOf(this.network.connected());
		for (int i = 0; i < Math.min(DIGESTS_PER_ROUND, peers.size()); i++) {
			sendDigest(peers.get(this.nextMissing++ % peers.size()), missing);
		}
		this.scheduler.schedule(MISSING_CHECK, this::requestMissing);
	}

	/**
	 * Whether no message of any peer has arrived lately.
	 * @return true if no peer would send changes to this daemon
	 */
	public boolean isolated() {
		return this.scheduler.nanos() - this.lastReceivedAt > ISOLATED_AFTER.toNanos();
	}

	/**
	 * The time since the store was last unavailable to a daemon that reads it, by the
	 * reports of this daemon and its peers.
	 * @return the time since the last sign of an outage
	 */
	public Duration sinceOutage() {
		return Duration.ofNanos(this.scheduler.nanos() - this.lastOutageAt);
	}

	/**
	 * Sends what this daemon just read from the store to the others. The first daemon in
	 * the order pushes the copies themselves. Other daemons may have read the same at the
	 * same moment; they send a digest a little later, and a peer that missed the push
	 * requests the rest, so that a document of half a megabyte is sent to each daemon
	 * once. So does a daemon that can't tell what changed since it knew all changes.
	 * @param kind the kind of objects
	 * @param from its copies hold every change after this revision
	 * @param sinceOutage how long ago the store was last unavailable to this daemon
	 * @param first whether this daemon is the first in the order
	 */
	public void push(String kind, long from, Duration sinceOutage, boolean first) {
		this.lastOutageAt = Math.max(this.lastOutageAt, this.scheduler.nanos() - sinceOutage.toNanos());
		ObjectCopies ours = this.kinds.get(kind);
		if (ours.gaplessFrom(from) < from) {
			this.routes.originRecipients().forEach(this::sendDigest);
			return;
		}
		CopiesUpdate message = copies(kind, ours, from, this.delays.forBroadcast());
		if (first || message.objects().isEmpty()) {
			broadcast(this.routes.originRecipients(), message);
		}
		else {
			this.scheduler.schedule(DIGEST_DELAY, () -> this.routes.originRecipients().forEach(this::sendDigest));
		}
	}

	private void broadcast(Collection<VmId> to, CopiesUpdate message) {
		List<VmId> uncongested = new ArrayList<>();
		to.forEach((vm) -> {
			if (!this.network.congested(vm)) {
				uncongested.add(vm);
			}
			else if (message.objects() != null && !message.objects().isEmpty()) {
				noteCongested(vm);
			}
		});
		this.network.sendAll(uncongested, message);
	}

	private void noteCongested(VmId vm) {
		if (this.congestedPeers.isEmpty()) {
			this.scheduler.schedule(CONGESTION_CHECK, this::retryCongested);
		}
		this.congestedPeers.add(vm);
	}

	/**
	 * Sends a digest to the peers whose connections have drained; they request what they
	 * miss.
	 */
	private void retryCongested() {
		List<VmId> drained = this.congestedPeers.stream().filter((vm) -> !this.network.congested(vm)).toList();
		drained.forEach(this.congestedPeers::remove);
		drained.forEach(this::sendDigest);
		if (!this.congestedPeers.isEmpty()) {
			this.scheduler.schedule(CONGESTION_CHECK, this::retryCongested);
		}
	}

	private CopiesUpdate copies(String kind, ObjectCopies ours, long from, SendingTimes times) {
		long gaplessFrom = ours.gaplessFrom(from);
		return new CopiesUpdate(kind, gaplessFrom, ours.complete(), age(ours), sinceOutage().toMillis(),
				ours.changedAfter(gaplessFrom), times);
	}

	private long age(ObjectCopies ours) {
		return ours.ageMillis(this.scheduler.nanos());
	}

	private void sendDigests() {
		List<VmId> peers = List.copyOf(this.network.connected());
		for (int i = 0; i < Math.min(DIGESTS_PER_ROUND, peers.size()); i++) {
			sendDigest(FleetGossip.peerInTurn(peers, this.nextPeer++));
		}
	}

	private void sendDigest(VmId vm) {
		sendDigest(vm,
				this.kinds.entrySet().stream().map((entry) -> digest(entry.getKey(), entry.getValue())).toList());
	}

	private void sendDigest(VmId vm, List<CopiesDigest.Held> digests) {
		this.network.send(vm, new CopiesDigest(digests, this.delays.forPeer(vm)));
	}

	private CopiesDigest.Held digest(String kind, ObjectCopies ours) {
		return new CopiesDigest.Held(kind, ours.lastChange(), ours.complete(), age(ours));
	}

	private void receiveDigest(Incarnation from, CopiesDigest message) {
		this.lastReceivedAt = this.scheduler.nanos();
		OptionalLong waited = this.delays.waitedMillis(from, message.times());
		if (this.delays.lacksEcho(message.times())) {
			sendDigest(from.vm());
		}
		for (CopiesDigest.Held theirs : message.kinds()) {
			ObjectCopies ours = this.kinds.get(theirs.kind());
			if (ours == null) {
				continue;
			}
			if (ours.lacks(theirs) || isOvertaken(ours, theirs)) {
				sendDigest(from.vm(), List.of(digest(theirs.kind(), ours)));
				continue;
			}
			// The store's confirmation of a peer's copies also covers ours, which are at
			// least as new.
			if (ours.covers(theirs)) {
				confirm(ours, theirs.ageMillis(), waited);
			}
			boolean stale = theirs.ageMillis() - age(ours) > STALE_BY.toMillis() && ours.covers(theirs);
			boolean theyMiss = ours.areNewerThan(theirs) || stale;
			if (theyMiss && this.network.congested(from.vm())) {
				noteCongested(from.vm());
			}
			else if (theyMiss) {
				this.network.send(from.vm(),
						copies(theirs.kind(), ours, theirs.complete(), this.delays.forPeer(from.vm())));
			}
		}
	}

	/**
	 * Whether a peer's copies, which may be newer without containing a change that is
	 * visible in its digest, were confirmed much later than ours.
	 * @param ours the own copies
	 * @param theirs the peer's digest
	 * @return true if the peer's copies are to be requested
	 */
	private boolean isOvertaken(ObjectCopies ours, CopiesDigest.Held theirs) {
		return ours.complete() < theirs.complete() && age(ours) - theirs.ageMillis() > STALE_BY.toMillis();
	}

	private void receiveCopies(Incarnation from, CopiesUpdate message) {
		this.lastReceivedAt = this.scheduler.nanos();
		OptionalLong waited = this.delays.waitedMillis(from, message.times());
		ObjectCopies ours = this.kinds.get(message.kind());
		if (ours == null) {
			return;
		}
		List<ObjectCopy> objects = (message.objects() != null) ? message.objects() : List.of();
		this.lastOutageAt = Math.max(this.lastOutageAt, millisAgo(message.outageMillis() + waited.orElse(0)));
		long known = ours.lastChange();
		if (!ours.applyFromPeer(message.from(), message.to(), objects)) {
			sendDigest(from.vm());
			return;
		}
		long confirmedBefore = ours.confirmedAt();
		if (!StoreRevision.isOfEarlierEra(message.to(), ours.complete())) {
			confirm(ours, message.ageMillis(), waited);
		}
		if (ours.exact() && !ours.everConfirmed()) {
			// The reply echoes this digest, so that its own delay is known.
			sendDigest(from.vm(), List.of(digest(message.kind(), ours)));
		}
		boolean fresher = ours.confirmedAt() - confirmedBefore > FRESHER_BY.toNanos();
		boolean changed = ours.lastChange() > known;
		if (changed) {
			this.log.belief("copies", message.kind(), "from", from, "revision", StoreRevision.text(ours.lastChange()),
					"was", StoreRevision.text(known), "age_ms", message.ageMillis(), "waited_ms",
					waited.isPresent() ? waited.getAsLong() : null);
		}
		// Most daemons of a large fleet forward nothing, and collecting the copies scans
		// all of them.
		Collection<VmId> recipients = (changed || fresher) ? this.routes.forwardRecipients(from.vm()) : List.of();
		if (!recipients.isEmpty()) {
			broadcast(recipients, copies(message.kind(), ours, message.from(), this.delays.forBroadcast()));
		}
	}

	private void confirm(ObjectCopies ours, long ageMillis, OptionalLong waited) {
		waited.ifPresent((millis) -> ours.confirm(millisAgo(ageMillis + millis)));
	}

	private long millisAgo(long millis) {
		return this.scheduler.nanos() - Duration.ofMillis(millis).toNanos();
	}

}
