package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Indicates that the sender is alive and carries digests of its state. The connection
 * identifies the sender's incarnation.
 *
 * @param version the version of the sender's own entry
 * @param leaving whether the sender is leaving
 * @param digest the digest of its member table
 * @param dataCentresDigest the digest of its claims about other data centres
 */
record Heartbeat(int version, boolean leaving, long digest, int dataCentresDigest) implements PeerMessage {

}
