package org.bramleyscale.internal.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;

/**
 * Provides the daemons known to this daemon and their states.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface MembershipView {

	Incarnation self();

	DataCentre dataCentre();

	/**
	 * Returns all known members, including this daemon, sorted by VM name.
	 * @return the members
	 */
	Collection<Member> members();

	Optional<Member> member(VmId vm);

	/**
	 * Returns the members that may receive new work: alive or suspect, neither leaving
	 * nor dead.
	 * @return the members, sorted by VM name
	 */
	List<Member> eligible();

	/**
	 * Adds a listener that is called after each change of the view.
	 * @param listener the listener
	 */
	void onChange(Runnable listener);

}
