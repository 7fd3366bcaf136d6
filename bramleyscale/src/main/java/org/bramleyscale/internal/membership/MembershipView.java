package org.bramleyscale.internal.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;

/**
 * Which daemons exist and answer, as far as this daemon knows.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface MembershipView {

	Incarnation self();

	DataCentre dataCentre();

	/**
	 * All members known, this daemon included, sorted by VM name.
	 * @return the members
	 */
	Collection<Member> members();

	Optional<Member> member(VmId vm);

	/**
	 * Members that may be given new work: alive or suspect, not leaving and not dead.
	 * @return the members, sorted by VM name
	 */
	List<Member> eligible();

	/**
	 * Adds a listener called after each change of the view.
	 * @param listener the listener
	 */
	void onChange(Runnable listener);

}
