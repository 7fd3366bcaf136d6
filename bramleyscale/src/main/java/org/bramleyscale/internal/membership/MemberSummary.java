package org.bramleyscale.internal.membership;

import org.bramleyscale.VmId;

/**
 * An entry without its addresses.
 *
 * @param vm the VM
 * @param start the incarnation's start
 * @param version the entry's version
 * @param health the entry's health
 * @param leaving the entry's leaving mark
 */
record MemberSummary(VmId vm, long start, int version, Health health, boolean leaving) {

	static MemberSummary of(MemberEntry entry) {
		return new MemberSummary(entry.vm(), entry.incarnation().start(), entry.version(), entry.health(),
				entry.leaving());
	}

}
