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
import org.bramleyscale.internal.time.Scheduler;

/**
 * Passes copies of platform objects between daemons.
 *
 * <p>
 * Few daemons ask the store, and it may turn single ones away while it serves the others
 * and the operator. Whoever reads something new pushes it to the others; besides, every
 * daemon tells a few peers how far its copies reach, and one that knows more sends what
 * is missing, so that a lost push costs a moment. A peer whose connection doesn't keep up
 * gets what is newest once it does, and nothing in between: 25 versions in two seconds
 * would queue for ten on a link of 14 Mbit/s, and the last of them counts.
 *
 * <p>
 * Invariants: a daemon answers only with changes that it knows without a gap; what it
 * hears is as old as the sender said and what it waited on its way, and makes nothing
 * fresh while the time that it waited isn't known. Messages that queue for seconds would
 * look fresh otherwise, and a daemon with fresh news doesn't ask the store: a change
 * would be as late as the queue is long. Confined to the scheduler's thread.
 */
public final class PeerCopies {

	/** The pause between tellings; they only make good what pushes missed. */
	static final Duration PAUSE = Duration.ofMillis(400);

	/** Peers told in one round; the rest follow in later rounds. */
	static final int TOLD_AT_ONCE = 2;

	/** Peers that were silent for five rounds may be gone, frozen or cut off. */
	static final Duration ALONE = PAUSE.multipliedBy(5);

	/** By then the first one's push has arrived. */
	static final Duration SECOND_HAND = Duration.ofMillis(100);

	/** A peer whose news are older by so much missed a push, or has just started. */
	private static final Duration MUCH_OLDER = Duration.ofSeconds(1);

	/** News that are fresher by less aren't worth a message to each daemon. */
	private static final Duration FRESHER = Duration.ofMillis(200);

	/** The pause between looks at connections that didn't keep up. */
	static final Duration LOOK = Duration.ofMillis(20);

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final Map<String, FollowedKind> kinds;

	private final NewsRoutes routes;

	private final DecisionLog log;

	private final QueueingDelays delays;

	private final Set<VmId> behind = new HashSet<>();

	private long heardAt;

	private long outageAt;

	private int next;

	/**
	 * Makes the exchange.
	 * @param self the daemon
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param kinds the copies by kind
	 * @param routes who gets what is new
	 * @param log takes a line for each delta taken
	 */
	public PeerCopies(Incarnation self, Scheduler scheduler, PeerNetwork network, Map<String, FollowedKind> kinds,
			NewsRoutes routes, DecisionLog log) {
		this.scheduler = scheduler;
		this.network = network;
		this.kinds = Map.copyOf(kinds);
		this.routes = routes;
		this.log = log;
		this.delays = new QueueingDelays(self, scheduler, (peer, queue, waitedMillis) -> log.belief("copies", "news",
				"queue", queue, "from", peer, "waited_ms", waitedMillis));
		this.heardAt = scheduler.nanos();
		this.outageAt = scheduler.nanos() - Duration.ofDays(1).toNanos();
		network.listen(CopiesHeld.class, this::held);
		network.listen(CopiesTold.class, this::told);
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(101, CopiesHeld.class).add(102, CopiesTold.class);
	}

	public void start() {
		this.heardAt = this.scheduler.nanos();
		this.scheduler.repeat(PAUSE, this::tellNext);
		tellNext();
	}

	/**
	 * Whether no peer has been heard lately.
	 * @return true if nobody would tell this daemon what changes
	 */
	public boolean alone() {
		return this.scheduler.nanos() - this.heardAt > ALONE.toNanos();
	}

	/**
	 * For how long the store has not been away for those who read it, as far as heard.
	 * @return the time since the last sign of an outage
	 */
	public Duration sinceOutage() {
		return Duration.ofNanos(this.scheduler.nanos() - this.outageAt);
	}

	/**
	 * Tells the others of what this daemon just read from the store. The first in the
	 * order pushes the copies themselves. Others may have read the same at the same
	 * moment; they say a little later how far they got, and whoever was missed asks for
	 * the rest, so that a document of half a megabyte goes to each daemon once.
	 * @param kind the kind of objects
	 * @param from its copies hold every change after this revision
	 * @param sinceOutage how long ago the store was last away for this daemon
	 * @param first whether this daemon is the first in the order
	 */
	public void push(String kind, long from, Duration sinceOutage, boolean first) {
		this.outageAt = Math.max(this.outageAt, this.scheduler.nanos() - sinceOutage.toNanos());
		CopiesTold message = copies(kind, this.kinds.get(kind), from, this.delays.toMany());
		if (first || message.objects().isEmpty()) {
			spread(this.routes.firstHand(), message);
		}
		else {
			this.scheduler.schedule(SECOND_HAND, () -> this.routes.firstHand().forEach(this::tell));
		}
	}

	private void spread(Collection<VmId> to, CopiesTold message) {
		List<VmId> keepUp = new ArrayList<>();
		to.forEach((vm) -> {
			if (!this.network.congested(vm)) {
				keepUp.add(vm);
			}
			else if (message.objects() != null && !message.objects().isEmpty()) {
				noteBehind(vm);
			}
		});
		this.network.sendAll(keepUp, message);
	}

	private void noteBehind(VmId vm) {
		if (this.behind.isEmpty()) {
			this.scheduler.schedule(LOOK, this::catchUp);
		}
		this.behind.add(vm);
	}

	/**
	 * Tells those whose connections have caught up how far the copies reach; they ask for
	 * what they miss.
	 */
	private void catchUp() {
		List<VmId> again = this.behind.stream().filter((vm) -> !this.network.congested(vm)).toList();
		again.forEach(this.behind::remove);
		again.forEach(this::tell);
		if (!this.behind.isEmpty()) {
			this.scheduler.schedule(LOOK, this::catchUp);
		}
	}

	private CopiesTold copies(String kind, FollowedKind ours, long from, SendingTimes times) {
		return new CopiesTold(kind, from, ours.complete(), age(ours), sinceOutage().toMillis(), ours.after(from),
				times);
	}

	private long age(FollowedKind ours) {
		return Duration.ofNanos(this.scheduler.nanos() - ours.confirmedAt()).toMillis();
	}

	private void tellNext() {
		List<VmId> peers = List.copyOf(this.network.connected());
		for (int i = 0; i < Math.min(TOLD_AT_ONCE, peers.size()); i++) {
			tell(peers.get(this.next++ % peers.size()));
		}
	}

	private void tell(VmId vm) {
		tell(vm, this.kinds.entrySet().stream().map((entry) -> reach(entry.getKey(), entry.getValue())).toList());
	}

	private void tell(VmId vm, List<CopiesHeld.Held> reached) {
		this.network.send(vm, new CopiesHeld(reached, this.delays.to(vm)));
	}

	private CopiesHeld.Held reach(String kind, FollowedKind ours) {
		return new CopiesHeld.Held(kind, ours.lastChange(), ours.complete(), age(ours));
	}

	private void held(Incarnation from, CopiesHeld message) {
		this.heardAt = this.scheduler.nanos();
		OptionalLong waited = this.delays.waitedMillis(from, message.times());
		if (this.delays.unheard(message.times())) {
			tell(from.vm());
		}
		for (CopiesHeld.Held theirs : message.kinds()) {
			FollowedKind ours = this.kinds.get(theirs.kind());
			if (ours == null) {
				continue;
			}
			if (ours.lastChange() < theirs.lastChange()) {
				tell(from.vm(), List.of(reach(theirs.kind(), ours)));
				continue;
			}
			// What the store said of copies that reach no further holds for ours too.
			confirm(ours, theirs.ageMillis(), waited);
			boolean older = theirs.ageMillis() - age(ours) > MUCH_OLDER.toMillis();
			boolean more = ours.lastChange() > theirs.lastChange() || older;
			if (more && this.network.congested(from.vm())) {
				noteBehind(from.vm());
			}
			else if (more) {
				this.network.send(from.vm(),
						copies(theirs.kind(), ours, theirs.lastChange(), this.delays.to(from.vm())));
			}
		}
	}

	private void told(Incarnation from, CopiesTold message) {
		this.heardAt = this.scheduler.nanos();
		OptionalLong waited = this.delays.waitedMillis(from, message.times());
		FollowedKind ours = this.kinds.get(message.kind());
		if (ours == null) {
			return;
		}
		List<FollowedObject> objects = (message.objects() != null) ? message.objects() : List.of();
		this.outageAt = Math.max(this.outageAt, before(message.outageMillis() + waited.orElse(0)));
		long known = ours.lastChange();
		if (!ours.fromPeer(message.from(), message.to(), objects)) {
			tell(from.vm());
			return;
		}
		long confirmedBefore = ours.confirmedAt();
		confirm(ours, message.ageMillis(), waited);
		boolean fresher = ours.confirmedAt() - confirmedBefore > FRESHER.toNanos();
		boolean changed = ours.lastChange() > known;
		if (changed) {
			this.log.belief("copies", message.kind(), "from", from, "revision", ours.lastChange(), "was", known,
					"age_ms", message.ageMillis(), "waited_ms", waited.isPresent() ? waited.getAsLong() : null);
		}
		// Most daemons of a large fleet pass on nothing; collecting copies looks at each.
		Collection<VmId> others = (changed || fresher) ? this.routes.passedOn(from.vm()) : List.of();
		if (!others.isEmpty()) {
			spread(others, copies(message.kind(), ours, message.from(), this.delays.toMany()));
		}
	}

	private void confirm(FollowedKind ours, long ageMillis, OptionalLong waited) {
		waited.ifPresent((millis) -> ours.confirm(before(ageMillis + millis)));
	}

	private long before(long millis) {
		return this.scheduler.nanos() - Duration.ofMillis(millis).toNanos();
	}

}
