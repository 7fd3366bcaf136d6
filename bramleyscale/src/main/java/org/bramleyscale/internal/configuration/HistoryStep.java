package org.bramleyscale.internal.configuration;

import java.util.List;

/**
 * What changed from one version that a daemon held to the next one it held.
 *
 * @param base the earlier version
 * @param baseHash the earlier version's content hash
 * @param version the later version
 * @param hash the later version's content hash
 * @param changes the entries that differ
 */
record HistoryStep(long base, ContentHash baseHash, long version, ContentHash hash, List<EncodedChange> changes) {

	HistoryStep {
		changes = List.copyOf(changes);
	}

}
