package org.bramleyscale.internal.gateway.load;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The work of many daemons, as a relay adds it up.
 *
 * @param fleet true for that of all daemons without the receiver, false for that of the
 * relay's data centre
 * @param shares the work by endpoint
 * @param demands the demand by service
 */
public record LoadSummed(boolean fleet, List<LoadTold.Share> shares,
		List<LoadTold.Demand> demands) implements PeerMessage {
}
