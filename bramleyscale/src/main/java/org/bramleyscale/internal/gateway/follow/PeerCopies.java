package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

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
 * The store may turn single daemons away while it serves the others and the operator.
 * Such a daemon would go on with keys that were taken away and endpoints that drain. So
 * every daemon tells a few peers how far its copies reach, and one that knows more sends
 * what is missing. Invariant: a daemon answers only with changes that it knows without a
 * gap. Confined to the scheduler's thread.
 */
public final class PeerCopies {

	/**
	 * The pause between tellings. A daemon that the store turns away learns a change one
	 * to two pauses after its peers, well within the five seconds that it has.
	 */
	static final Duration PAUSE = Duration.ofMillis(400);

	/** Peers told in one round; the rest follow in later rounds. */
	static final int TOLD_AT_ONCE = 8;

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final Map<String, FollowedKind> kinds;

	private final DecisionLog log;

	private int next;

	/**
	 * Makes the exchange.
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param kinds the copies by kind
	 * @param log takes a line for each delta taken
	 */
	public PeerCopies(Scheduler scheduler, PeerNetwork network, Map<String, FollowedKind> kinds, DecisionLog log) {
		this.scheduler = scheduler;
		this.network = network;
		this.kinds = Map.copyOf(kinds);
		this.log = log;
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
		this.scheduler.repeat(PAUSE, this::tell);
		tell();
	}

	private void tell() {
		List<VmId> peers = List.copyOf(this.network.connected());
		CopiesHeld held = new CopiesHeld(this.kinds.entrySet()
			.stream()
			.map((entry) -> new CopiesHeld.Held(entry.getKey(), entry.getValue().lastChange(),
					entry.getValue().complete()))
			.toList());
		for (int i = 0; i < Math.min(TOLD_AT_ONCE, peers.size()); i++) {
			this.network.send(peers.get(this.next++ % peers.size()), held);
		}
	}

	private void held(Incarnation from, CopiesHeld message) {
		for (CopiesHeld.Held theirs : message.kinds()) {
			FollowedKind ours = this.kinds.get(theirs.kind());
			if (ours != null && ours.lastChange() > theirs.lastChange()) {
				List<FollowedObject> missing = new ArrayList<>(ours.after(theirs.lastChange()));
				this.network.send(from.vm(),
						new CopiesTold(theirs.kind(), theirs.lastChange(), ours.complete(), missing));
			}
		}
	}

	private void told(Incarnation from, CopiesTold message) {
		FollowedKind ours = this.kinds.get(message.kind());
		if (ours == null || message.objects() == null) {
			return;
		}
		long before = ours.lastChange();
		ours.fromPeer(message.from(), message.to(), message.objects());
		if (ours.lastChange() > before) {
			this.log.belief("copies", message.kind(), "from", from, "revision", ours.lastChange(), "was", before);
		}
	}

}
