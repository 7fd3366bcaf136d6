package org.bramleyscale.internal.lease;

import java.util.Optional;

/**
 * Another daemon's lease as it was first seen here.
 *
 * @param version the object's version
 * @param value its value, or empty if it can't be read
 * @param firstSeen when this daemon first saw it so, by the monotonic clock
 */
record Sighting(long version, Optional<LeaseValue> value, long firstSeen) {

	boolean same(Sighting other) {
		return this.version == other.version && this.value.equals(other.value);
	}

	String holder() {
		return this.value.map(LeaseValue::holder).orElse("unknown");
	}

}
