package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the proposer of a version that the sender holds it.
 *
 * @param version the version
 * @param hash its content hash
 */
public record ConfigurationHeld(long version, ContentHash hash) implements PeerMessage {
}
