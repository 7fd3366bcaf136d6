package org.bramleyscale.internal.membership;

import org.bramleyscale.DataCentre;

/**
 * A versioned claim of one data centre's relays about another data centre.
 *
 * <p>
 * The greater version wins; of equal versions the one that says that the target is
 * responsive, since a received message is certain evidence and a missing one isn't.
 *
 * @param observer the relays' data centre
 * @param target the other data centre
 * @param version raised by any relay that changes the claim
 * @param unresponsive whether no messages arrive from any of the target's daemons
 */
record DataCentreStatus(DataCentre observer, DataCentre target, int version, boolean unresponsive) {

	DataCentreStatus merge(DataCentreStatus other) {
		if (this.version != other.version) {
			return (this.version > other.version) ? this : other;
		}
		return this.unresponsive ? other : this;
	}

}
