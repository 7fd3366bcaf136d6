package org.bramleyscale.internal.status;

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
 * @param silentMillis for how long it has not answered; 0 for the answering daemon
 * @param version the configuration version it last said to hold; 0 if it said nothing
 */
public record DaemonStatus(VmId vm, DataCentre dataCentre, String httpAddress, Member.State state, long silentMillis,
		long version) {

}
