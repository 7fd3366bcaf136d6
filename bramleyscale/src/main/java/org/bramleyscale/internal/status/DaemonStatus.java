package org.bramleyscale.internal.status;

import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;

/**
 * One daemon as the answering daemon sees it.
 *
 * @param vm its VM
 * @param dataCentre where it runs
 * @param httpAddress {@code host:port} for callers and operators
 * @param state what is known of it
 * @param silentMillis for how long heartbeats have said that it doesn't answer
 * @param version the configuration version it last said to hold; 0 if it said nothing
 * @param report what it says about itself; empty if it wasn't asked or didn't answer
 */
public record DaemonStatus(VmId vm, DataCentre dataCentre, String httpAddress, Member.State state, long silentMillis,
		long version, Optional<DaemonReport> report) {

}
