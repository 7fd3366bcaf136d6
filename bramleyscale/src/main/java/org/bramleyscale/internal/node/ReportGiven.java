package org.bramleyscale.internal.node;

import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.status.DaemonReport;

/**
 * Answers {@link ReportWanted}.
 *
 * @param inquiry as asked
 * @param report the report
 */
public record ReportGiven(long inquiry, DaemonReport report) implements PeerMessage {
}
