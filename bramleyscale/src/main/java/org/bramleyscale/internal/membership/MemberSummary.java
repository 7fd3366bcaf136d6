package org.bramleyscale.internal.membership;

import org.bramleyscale.VmId;

/**
 * A {@link MemberEntry} without its addresses.
 *
 * @param vm the VM
 * @param start the start of the incarnation
 * @param version the version of the entry
 * @param health the health of the entry
 * @param leaving whether the entry is marked as leaving
 */
record MemberSummary(VmId vm, long start, int version, Health health, boolean leaving) {

	static MemberSummary of(MemberEntry entry) {
		return new MemberSummary(entry.vm(), entry.incarnation().start(), entry.version(), entry.health(),
				entry.leaving());
	}

}
