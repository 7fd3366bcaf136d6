package org.bramleyscale.internal.lease;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a lease's object in the platform holds.
 *
 * @param holder the holder's incarnation in its written form
 * @param number the fencing number: the object's version when the holder took it
 * @param nonce differs at each write of the holder, so that it recognises a write whose
 * reply was lost
 * @param durationMillis how long the lease lasts after this write
 * @param released whether the holder has given it back
 */
record LeaseValue(String holder, long number, long nonce, long durationMillis, boolean released) {

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	/**
	 * Reads the stored form.
	 * @param bytes the object's value
	 * @return the value, or empty if it isn't one
	 */
	static Optional<LeaseValue> decode(byte[] bytes) {
		try {
			return Optional.of(mapper.readValue(bytes, LeaseValue.class));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	byte[] encode() {
		try {
			return mapper.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The lease " + this + " could not be written", ex);
		}
	}

	Duration duration() {
		return Duration.ofMillis(this.durationMillis);
	}

}
