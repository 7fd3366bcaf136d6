package org.bramleyscale.internal.configuration;

import java.util.List;

import org.bramleyscale.VmId;

/**
 * What spreading has to know about the daemons around this one.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Relays {

	/**
	 * Whether this daemon is one of the few of its data centre that watch the platform.
	 * @return true for a relay
	 */
	boolean isRelay();

	/**
	 * The daemons of this data centre that can be sent messages.
	 * @return the VMs without this one
	 */
	List<VmId> localPeers();

	/**
	 * The relays that this daemon turns to: for a relay, those of the other data centres
	 * and the others of its own; for another daemon, those of its own data centre.
	 * @return the VMs without this one
	 */
	List<VmId> otherRelays();

	/**
	 * How many daemons there should be, this one included, whether they answer or not.
	 * @return the number of live VMs by the last list that the platform gave
	 */
	int members();

	/**
	 * How many of them were heard lately, this one included, directly or through a chain
	 * of others. It must fall within a few seconds after a connection goes silent.
	 * @return the number of daemons that answer
	 */
	int heard();

	/**
	 * Whether more than half of the daemons answer. Two groups that can't hear each other
	 * never both see a majority.
	 * @return true for a majority
	 */
	default boolean majorityHeard() {
		return 2 * heard() > members();
	}

}
