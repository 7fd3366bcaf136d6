package org.bramleyscale.internal.configuration;

import java.util.List;

/**
 * A whole version with its recent history, as peers send it.
 *
 * @param entries all entries
 * @param history the steps that led to the version, oldest first
 */
record SnapshotBody(List<EncodedEntry> entries, List<HistoryStep> history) {
}
