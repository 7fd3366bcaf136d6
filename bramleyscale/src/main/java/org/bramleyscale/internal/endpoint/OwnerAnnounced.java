package org.bramleyscale.internal.endpoint;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The announcement that a daemon has acquired the lease of a shard. Owners with a smaller
 * epoch stop granting.
 *
 * @param dataCentre the shard's data centre
 * @param shard the shard's code
 * @param epoch the lease's number
 */
public record OwnerAnnounced(DataCentre dataCentre, int shard, long epoch) implements PeerMessage {
}
