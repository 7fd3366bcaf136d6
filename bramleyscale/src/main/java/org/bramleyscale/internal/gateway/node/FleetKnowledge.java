package org.bramleyscale.internal.gateway.node;

import java.util.OptionalInt;

import org.bramleyscale.VmId;

/**
 * What a daemon knows, beside its membership, when it names daemons to callers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
interface FleetKnowledge {

	/** The list names no other VM. */
	int NO_OTHER = -1;

	/**
	 * Whether this daemon knows the configuration and endpoints.
	 * @return false for a moment after its start
	 */
	boolean informed();

	/**
	 * The class of size of the largest other VM on the platform's list, alive or not.
	 * @return the class, {@link #NO_OTHER} if the list names no other VM, or empty if it
	 * wasn't read yet
	 */
	OptionalInt largestListed();

	/**
	 * Whether a daemon fell silent, though its connections stay open.
	 * @param vm the daemon's VM
	 * @return true if it should be heard and isn't
	 */
	boolean unheard(VmId vm);

	/**
	 * How to choose among daemons that answer.
	 * @return the choice, given who relays now
	 */
	EntrySelection selection();

	/**
	 * The requests under way in the whole fleet.
	 * @return the number, as far as told
	 */
	int underWay();

}
