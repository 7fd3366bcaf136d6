package org.bramleyscale.internal.membership;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;

/**
 * A versioned claim about the state of one incarnation, as daemons gossip it.
 *
 * <p>
 * Invariant: {@link #merge} is commutative, associative and idempotent, so that daemons
 * which received the same claims agree, whatever the order and number of deliveries. A
 * later start replaces every claim about an earlier one; within a start the leaving mark
 * is never removed, the greater version wins, and within a version the worse health wins.
 * Only the daemon itself raises its version, to refute a claim that it isn't alive.
 * Immutable and safe for use by multiple threads.
 *
 * @param identity the daemon's incarnation, location and addresses
 * @param version raised only by the daemon itself
 * @param health the state found by failure detection
 * @param leaving whether it accepts no new work
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

	MemberEntry withHealth(Health newHealth) {
		return new MemberEntry(this.identity, this.version, newHealth, this.leaving);
	}

	MemberEntry withLeaving() {
		return new MemberEntry(this.identity, this.version, this.health, true);
	}

	/**
	 * Returns the claim with which the daemon refutes a claim that it isn't alive.
	 * @param claim the claim to refute
	 * @return a claim that wins over it
	 */
	MemberEntry refuting(MemberEntry claim) {
		int winningVersion = Math.max(this.version, claim.version) + 1;
		return new MemberEntry(this.identity, winningVersion, Health.ALIVE, this.leaving || claim.leaving);
	}

	/**
	 * Merges two claims about one VM.
	 * @param other the other claim
	 * @return the merged claim
	 */
	MemberEntry merge(MemberEntry other) {
		int byStart = Long.compare(incarnation().start(), other.incarnation().start());
		if (byStart != 0) {
			return (byStart > 0) ? this : other;
		}
		MemberEntry winner = (compareClaim(other) >= 0) ? this : other;
		boolean eitherLeaving = this.leaving || other.leaving;
		return new MemberEntry(this.identity, winner.version, winner.health, eitherLeaving);
	}

	/**
	 * Returns a hash that is the same on every daemon.
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
