package org.bramleyscale.internal.gateway.load;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The work of many daemons, as a relay adds it up.
 *
 * @param fleet true for that of all daemons, false for that of the relay's data centre
 * @param whole whether all endpoints with work are named; otherwise only those at which
 * something began or ended since the last sum
 * @param shares the work by endpoint
 * @param demands the demand by service
 * @param included which telling of each daemon of the relay's data centre is in the sum,
 * so that a daemon can take out its own
 * @param unheard other relays that the relay doesn't hear; others hear of their end from
 * membership only, seconds later
 */
public record LoadSummed(boolean fleet, boolean whole, List<LoadTold.Share> shares, List<LoadTold.Demand> demands,
		Map<String, Long> included, Set<VmId> unheard) implements PeerMessage {
}
