package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Says that the sender lives, and what it knows in brief. The connection carries the
 * sender's incarnation.
 *
 * @param version the version of the sender's own entry
 * @param leaving whether the sender is leaving
 * @param digest the digest of its member table
 * @param silences the digest of what it knows of silent data centres
 */
record Heartbeat(int version, boolean leaving, long digest, int silences) implements PeerMessage {

}
