package org.bramleyscale.internal.membership;

import java.time.Duration;

import org.bramleyscale.VmId;

/**
 * How members came to be in the state that they are in.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface MemberHistory {

	/**
	 * Whether a daemon ended after a planned stop, so that nobody needs to look for it.
	 * @param vm its VM
	 * @return true if it was leaving when it was declared dead
	 */
	boolean endedByPlan(VmId vm);

	/**
	 * For how long heartbeats of a daemon have been missing.
	 * @param vm its VM
	 * @return the time, to a second or two, or zero if it answers
	 */
	Duration silence(VmId vm);

}
