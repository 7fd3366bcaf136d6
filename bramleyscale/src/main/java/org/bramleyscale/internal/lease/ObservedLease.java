package org.bramleyscale.internal.lease;

import java.util.Optional;

/**
 * The observed state of a lease that another daemon holds.
 *
 * @param version the object's version
 * @param value the object's value, or empty if it can't be decoded
 * @param firstSeen the monotonic time at which this daemon first observed this state
 */
record ObservedLease(long version, Optional<LeaseValue> value, long firstSeen) {

	boolean sameAs(ObservedLease other) {
		return this.version == other.version && this.value.equals(other.value);
	}

	String holder() {
		return this.value.map(LeaseValue::holder).orElse("unknown");
	}

}
