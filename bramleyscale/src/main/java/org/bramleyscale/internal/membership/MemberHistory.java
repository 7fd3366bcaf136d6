package org.bramleyscale.internal.membership;

import java.time.Duration;

import org.bramleyscale.VmId;

/**
 * Describes how members reached their current state.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface MemberHistory {

	/**
	 * Whether a daemon ended after a planned stop, so that its absence is not a failure.
	 * @param vm its VM
	 * @return true if it was leaving when it was declared dead
	 */
	boolean endedAfterPlannedStop(VmId vm);

	/**
	 * For how long heartbeats of a daemon have been missing.
	 * @param vm its VM
	 * @return the time, accurate to a second or two, or zero if the daemon is responsive
	 */
	Duration unresponsiveFor(VmId vm);

}
