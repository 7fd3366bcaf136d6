package org.bramleyscale.internal.endpoint.owner;

import org.bramleyscale.internal.endpoint.Shard;

/**
 * A shard that this daemon owns, with the epoch of its lease.
 *
 * @param shard the shard
 * @param epoch the epoch, which is the lease's number
 * @param formerGrantsExpiry when all grants of a former owner have expired
 */
record OwnedShard(Shard shard, long epoch, long formerGrantsExpiry) {
}
