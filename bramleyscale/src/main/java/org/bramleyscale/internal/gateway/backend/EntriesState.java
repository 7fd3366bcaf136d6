package org.bramleyscale.internal.gateway.backend;

/**
 * The state of a daemon's copies of the endpoints' entries, for the log.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param revision the revision up to which every change is known
 * @param ageMillis how long ago the store confirmed that nothing was newer, ms
 */
public record EntriesState(String revision, long ageMillis) {

	/** The state of a daemon that has no copies. */
	public static final EntriesState NONE = new EntriesState("none", -1);

}
