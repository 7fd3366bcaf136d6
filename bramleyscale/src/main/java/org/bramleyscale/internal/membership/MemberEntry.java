package org.bramleyscale.internal.membership;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;

/**
 * One claim about one incarnation, as daemons pass it on.
 *
 * <p>
 * Invariant: {@link #merge} is commutative, associative and idempotent, so that daemons
 * which got the same claims agree, in whatever order and however often the claims came. A
 * later start beats everything of an earlier one; within a start the leaving mark never
 * goes away, a greater version wins, and within a version the worse health wins. Only the
 * daemon itself raises its version, to refute a claim that it isn't alive. Immutable and
 * safe for use by multiple threads.
 *
 * @param identity who it is and where
 * @param version raised by the daemon itself
 * @param health what heartbeats say
 * @param leaving whether it takes no new work
 */
record MemberEntry(PeerIdentity identity, int version, Health health, boolean leaving) {

	MemberEntry {
		if (identity == null || health == null || version < 0) {
			throw new IllegalArgumentException(
					"member entry must be complete, was " + identity + ", " + version + ", " + health);
		}
	}

	Incarnation incarnation() {
		return this.identity.incarnation();
	}

	VmId vm() {
		return incarnation().vm();
	}

	MemberEntry withHealth(Health changed) {
		return new MemberEntry(this.identity, this.version, changed, this.leaving);
	}

	MemberEntry withLeaving() {
		return new MemberEntry(this.identity, this.version, this.health, true);
	}

	/**
	 * The claim with which the daemon itself answers a claim that it isn't alive.
	 * @param claim the claim
	 * @return a claim that wins over it
	 */
	MemberEntry refuting(MemberEntry claim) {
		int winning = Math.max(this.version, claim.version) + 1;
		return new MemberEntry(this.identity, winning, Health.ALIVE, this.leaving || claim.leaving);
	}

	/**
	 * Joins two claims about one VM.
	 * @param other the other claim
	 * @return the claim that both daemons hold afterwards
	 */
	MemberEntry merge(MemberEntry other) {
		int byStart = Long.compare(incarnation().start(), other.incarnation().start());
		if (byStart != 0) {
			return (byStart > 0) ? this : other;
		}
		MemberEntry winner = (compareClaim(other) >= 0) ? this : other;
		boolean leaves = this.leaving || other.leaving;
		return new MemberEntry(this.identity, winner.version, winner.health, leaves);
	}

	/**
	 * A hash that is the same on every daemon.
	 * @return 64 bits
	 */
	long fingerprint() {
		return Hashing.murmur3_128()
			.newHasher()
			.putString(incarnation().toString(), StandardCharsets.UTF_8)
			.putInt(this.version)
			.putInt(this.health.ordinal())
			.putBoolean(this.leaving)
			.hash()
			.asLong();
	}

	private int compareClaim(MemberEntry other) {
		int byVersion = Integer.compare(this.version, other.version);
		return (byVersion != 0) ? byVersion : this.health.compareTo(other.health);
	}

}
