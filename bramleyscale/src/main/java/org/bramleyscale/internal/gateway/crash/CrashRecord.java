package org.bramleyscale.internal.gateway.crash;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The record, in the platform's store, of a cause that endpoints crashed under. Its name
 * is the cause's value.
 *
 * <p>
 * The record survives restarts of daemons, and its conditional update ensures that at
 * most one trial runs at a time. Immutable and safe for use by multiple threads.
 *
 * @param crashes number of endpoints that had crashed under the cause when this was
 * written
 * @param trials number of trials since the record was created
 * @param trying whether the last trial may still be running
 */
record CrashRecord(int crashes, int trials, boolean trying) {

	/** The kind of these records in the store. */
	static final String KIND = "crashing-requests";

	/**
	 * Time after which a trial without an outcome counts as lost, because its daemon
	 * failed or its caller disconnected.
	 */
	static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(10);

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	static CrashRecord read(byte[] json) throws IOException {
		return mapper.readValue(json, CrashRecord.class);
	}

	byte[] write() {
		try {
			return mapper.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialise crash record", ex);
		}
	}

}
