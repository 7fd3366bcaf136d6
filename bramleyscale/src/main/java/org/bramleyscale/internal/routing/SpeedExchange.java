package org.bramleyscale.internal.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Tells other entries, one after another, which speeds this entry measured.
 *
 * <p>
 * Entries that disagree about speeds cut the lanes differently: one sends a manual where
 * another sends its questions. The symptom is a p95 time to first token of short prompts
 * of seconds on engines of unequal speed. With the others' measurements all entries
 * reckon with about the same speeds, and a new entry needn't learn them alone. Invariant:
 * what an entry told is forgotten some time after it fell silent. Confined to the
 * scheduler's thread.
 */
public final class SpeedExchange {

	private static final Duration SHORTEST_PAUSE = Duration.ofSeconds(2);

	private static final Duration FORGET_AFTER = Duration.ofMinutes(3);

	private static final int BYTES_PER_ENDPOINT = 30;

	private static final int BYTES_PER_SECOND = 300;

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final PeerNetwork network;

	private final SpeedLearner speeds;

	private final Map<VmId, Long> heard = new HashMap<>();

	private int turn;

	public SpeedExchange(Scheduler scheduler, MembershipView membership, PeerNetwork network, SpeedLearner speeds) {
		this.scheduler = scheduler;
		this.membership = membership;
		this.network = network;
		this.speeds = speeds;
		network.listen(SpeedDigest.class, this::received);
		scheduler.schedule(SHORTEST_PAUSE, this::round);
	}

	private void round() {
		forgetSilent();
		SpeedDigest digest = this.speeds.digest();
		List<Member> members = this.membership.eligible();
		if (members.size() > 1 && !digest.endpoints().isEmpty()) {
			this.network.send(next(members), digest);
		}
		Duration affordable = Duration
			.ofMillis(1_000L * digest.endpoints().size() * BYTES_PER_ENDPOINT / BYTES_PER_SECOND);
		this.scheduler.schedule((affordable.compareTo(SHORTEST_PAUSE) > 0) ? affordable : SHORTEST_PAUSE, this::round);
	}

	// Counting from this entry's own place, entries don't all tell the same one at a
	// time.
	private VmId next(List<Member> members) {
		int self = 0;
		for (int i = 0; i < members.size(); i++) {
			if (members.get(i).vm().equals(this.membership.self().vm())) {
				self = i;
			}
		}
		this.turn = this.turn % (members.size() - 1) + 1;
		return members.get((self + this.turn) % members.size()).vm();
	}

	private void received(Incarnation from, SpeedDigest digest) {
		this.heard.put(from.vm(), this.scheduler.nanos());
		this.speeds.heard(from.vm(), digest);
	}

	private void forgetSilent() {
		long oldest = this.scheduler.nanos() - FORGET_AFTER.toNanos();
		this.heard.entrySet().removeIf((entry) -> {
			boolean silent = entry.getValue() < oldest;
			if (silent) {
				this.speeds.forget(entry.getKey());
			}
			return silent;
		});
	}

}
