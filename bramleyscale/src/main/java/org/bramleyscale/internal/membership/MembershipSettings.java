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
 * @param identity this daemon
 * @param seeds the VMs to dial before the platform's list could be read, possibly none
 * @param meshLimit up to this many members of a data centre connect each with each;
 * beyond it each keeps connections with its neighbours and opens others on demand
 * @param times the times
 */
public record MembershipSettings(PeerIdentity identity, List<VmRecord> seeds, int meshLimit, MembershipTimes times) {

	/** Small data centres connect each with each. */
	public static final int DEFAULT_MESH_LIMIT = 16;

	public MembershipSettings {
		seeds = List.copyOf(seeds);
		if (meshLimit < 1) {
			throw new IllegalArgumentException("mesh limit must be at least 1, was " + meshLimit);
		}
	}

	/**
	 * The usual settings.
	 * @param identity this daemon
	 * @param seeds the VMs to dial before the platform's list could be read
	 * @return the settings
	 */
	public static MembershipSettings of(PeerIdentity identity, List<VmRecord> seeds) {
		return new MembershipSettings(identity, seeds, DEFAULT_MESH_LIMIT, MembershipTimes.DEFAULT);
	}

}
