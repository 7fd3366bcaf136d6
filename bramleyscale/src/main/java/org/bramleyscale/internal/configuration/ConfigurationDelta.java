package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The entries that changed from one version to a later one.
 *
 * @param base the version to apply it to
 * @param version the version that results
 * @param hash the content hash that must result
 * @param entries the changed entries in MessagePack
 * @param proposer the VM that waits to hear who holds the version; empty if none does
 */
public record ConfigurationDelta(long base, long version, ContentHash hash, byte[] entries,
		String proposer) implements PeerMessage {
}
