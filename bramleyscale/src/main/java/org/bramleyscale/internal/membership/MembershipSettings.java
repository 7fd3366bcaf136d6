package org.bramleyscale.internal.membership;

import java.util.List;

import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.platform.VmRecord;

/**
 * The settings of membership.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param identity the identity of this daemon
 * @param seeds the VMs to dial until the platform's list has been read, possibly none
 * @param meshLimit the maximum number of members of a data centre that form a full mesh;
 * beyond it each member keeps connections to its neighbours and opens others on demand
 * @param times the intervals and time-outs
 */
public record MembershipSettings(PeerIdentity identity, List<VmRecord> seeds, int meshLimit, MembershipTimes times) {

	/**
	 * The default size up to which the members of a data centre form a full mesh.
	 */
	public static final int DEFAULT_MESH_LIMIT = 16;

	public MembershipSettings {
		seeds = List.copyOf(seeds);
		if (meshLimit < 1) {
			throw new IllegalArgumentException("mesh limit must be at least 1, was " + meshLimit);
		}
	}

	/**
	 * Returns the default settings.
	 * @param identity the identity of this daemon
	 * @param seeds the VMs to dial until the platform's list has been read
	 * @return the settings
	 */
	public static MembershipSettings of(PeerIdentity identity, List<VmRecord> seeds) {
		return new MembershipSettings(identity, seeds, DEFAULT_MESH_LIMIT, MembershipTimes.DEFAULT);
	}

}
