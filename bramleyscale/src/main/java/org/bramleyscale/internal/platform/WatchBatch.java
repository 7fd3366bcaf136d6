package org.bramleyscale.internal.platform;

import java.util.List;

/**
 * What one waiting watch brought.
 *
 * @param revision the revision to continue from
 * @param gap true if changes between the asked revision and this batch were lost, so that
 * the watcher must list the kind anew
 * @param changed the objects changed, in order of change
 * @param deleted the names of the objects deleted; none of them is among the changed
 */
public record WatchBatch(long revision, boolean gap, List<StoredObject> changed, List<String> deleted) {

	public WatchBatch(long revision, boolean gap, List<StoredObject> changed) {
		this(revision, gap, changed, List.of());
	}
}
