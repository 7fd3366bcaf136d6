package org.bramleyscale.internal.lease;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The stored value of a lease's object.
 *
 * @param holder the holder's incarnation in its written form
 * @param number the fencing number: the object's version when the holder took it
 * @param nonce differs for each write, so that the holder recognises a write whose reply
 * was lost
 * @param durationMillis the duration of the lease after this write, in milliseconds
 * @param released whether the holder has released it
 */
record LeaseValue(String holder, long number, long nonce, long durationMillis, boolean released) {

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	/**
	 * Decodes the stored JSON form.
	 * @param bytes the object's value
	 * @return the value, or empty if the bytes aren't a valid lease value
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
			throw new IllegalStateException("Could not encode lease " + this + " as JSON", ex);
		}
	}

	Duration duration() {
		return Duration.ofMillis(this.durationMillis);
	}

}
