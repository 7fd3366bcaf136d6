package org.bramleyscale.internal.gateway.load;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The load of several daemons, summed by a relay.
 *
 * @param fleet true for the sum over all daemons, false for that over the relay's data
 * centre
 * @param full whether all endpoints with load are listed; otherwise only those whose load
 * has changed since the last sum
 * @param shares the load by endpoint
 * @param demands the demand by service
 * @param included the sequence number of the update of each daemon of the relay's data
 * centre that the sum includes, so that a daemon can subtract its own load
 * @param unresponsive other relays from which the relay gets no updates; without this,
 * daemons would learn of their failure only from membership, seconds later
 */
public record LoadSummary(boolean fleet, boolean full, List<LoadUpdate.Share> shares, List<LoadUpdate.Demand> demands,
		Map<String, Long> included, Set<VmId> unresponsive) implements PeerMessage {
}
