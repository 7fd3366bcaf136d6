package org.bramleyscale.internal.node;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks a daemon for its report.
 *
 * @param inquiry chosen by the asking daemon
 */
public record ReportWanted(long inquiry) implements PeerMessage {
}
