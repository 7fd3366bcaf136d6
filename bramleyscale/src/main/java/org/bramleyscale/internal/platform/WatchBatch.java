package org.bramleyscale.internal.platform;

import java.util.List;

/**
 * The result of one watch or list call.
 *
 * @param revision the revision to continue from
 * @param gap true if a watch lost changes between the requested revision and this batch,
 * so that the watcher must list the kind again, or if a list couldn't go on behind what
 * it has, so that objects that it lacks may exist
 * @param changed the changed objects, in order of change
 * @param deleted the names of the deleted objects, none of which is among the changed
 * ones
 */
public record WatchBatch(long revision, boolean gap, List<StoredObject> changed, List<String> deleted) {

	public WatchBatch(long revision, boolean gap, List<StoredObject> changed) {
		this(revision, gap, changed, List.of());
	}
}
