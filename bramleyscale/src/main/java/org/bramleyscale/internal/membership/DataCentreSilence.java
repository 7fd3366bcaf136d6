package org.bramleyscale.internal.membership;

import org.bramleyscale.DataCentre;

/**
 * What the relays of one data centre say of another one.
 *
 * <p>
 * The greater version wins; of equal versions the one that says it was heard, since
 * hearing is certain and not hearing is not.
 *
 * @param observer the relays' data centre
 * @param target the other data centre
 * @param version raised by any relay that changes the claim
 * @param silent whether none of the target's daemons is heard
 */
record DataCentreSilence(DataCentre observer, DataCentre target, int version, boolean silent) {

	DataCentreSilence merge(DataCentreSilence other) {
		if (this.version != other.version) {
			return (this.version > other.version) ? this : other;
		}
		return this.silent ? other : this;
	}

}
