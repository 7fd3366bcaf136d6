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
 * Sends digests of the speeds that this daemon measured to the other daemons in turn.
 *
 * <p>
 * Daemons whose estimates of speeds differ partition the lanes differently, so that one
 * sends long prompts to endpoints to which another sends short ones. The symptom is a p95
 * time to first token of short prompts of seconds on engines of unequal speed. With the
 * measurements of the others, all daemons use about the same speeds, and a new daemon
 * doesn't have to estimate them alone. Invariant: the digest of a daemon that sends no
 * further ones is removed after a fixed time. Confined to the scheduler's thread.
 */
public final class SpeedExchange {

	private static final Duration MIN_INTERVAL = Duration.ofSeconds(2);

	private static final Duration DIGEST_LIFETIME = Duration.ofMinutes(3);

	private static final int BYTES_PER_ENDPOINT = 30;

	private static final int BYTES_PER_SECOND = 300;

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final PeerNetwork network;

	private final SpeedEstimator speeds;

	private final Map<VmId, Long> lastReceived = new HashMap<>();

	private int recipientOffset;

	public SpeedExchange(Scheduler scheduler, MembershipView membership, PeerNetwork network, SpeedEstimator speeds) {
		this.scheduler = scheduler;
		this.membership = membership;
		this.network = network;
		this.speeds = speeds;
		network.listen(SpeedDigest.class, this::received);
		scheduler.schedule(MIN_INTERVAL, this::sendDigest);
	}

	private void sendDigest() {
		removeExpired();
		SpeedDigest digest = this.speeds.digest();
		List<Member> members = this.membership.eligible();
		if (members.size() > 1 && !digest.endpoints().isEmpty()) {
			this.network.send(nextRecipient(members), digest);
		}
		Duration interval = Duration
			.ofMillis(1_000L * digest.endpoints().size() * BYTES_PER_ENDPOINT / BYTES_PER_SECOND);
		this.scheduler.schedule((interval.compareTo(MIN_INTERVAL) > 0) ? interval : MIN_INTERVAL, this::sendDigest);
	}

	// Offsets count from this daemon's own index, so that the daemons don't all send to
	// the same recipient at a time.
	private VmId nextRecipient(List<Member> members) {
		int self = 0;
		for (int i = 0; i < members.size(); i++) {
			if (members.get(i).vm().equals(this.membership.self().vm())) {
				self = i;
			}
		}
		this.recipientOffset = this.recipientOffset % (members.size() - 1) + 1;
		return members.get((self + this.recipientOffset) % members.size()).vm();
	}

	private void received(Incarnation from, SpeedDigest digest) {
		this.lastReceived.put(from.vm(), this.scheduler.nanos());
		this.speeds.replaceDigest(from.vm(), digest);
	}

	private void removeExpired() {
		long oldest = this.scheduler.nanos() - DIGEST_LIFETIME.toNanos();
		this.lastReceived.entrySet().removeIf((entry) -> {
			boolean expired = entry.getValue() < oldest;
			if (expired) {
				this.speeds.removeDigest(entry.getKey());
			}
			return expired;
		});
	}

}
