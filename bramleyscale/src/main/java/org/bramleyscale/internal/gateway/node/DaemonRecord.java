package org.bramleyscale.internal.gateway.node;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bramleyscale.internal.peer.VmCapacity;

/**
 * The record by which a daemon registers in the platform's store, so that others can
 * discover it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param vm its VM
 * @param dataCentre where it runs
 * @param peerAddress {@code host:port} for peers
 * @param httpAddress {@code host:port} for callers
 * @param leaving true once the platform plans to remove the VM
 * @param start the number of its start; see {@link #startAfter}
 * @param capacity the capacity of its VM
 */
record DaemonRecord(String vm, String dataCentre, String peerAddress, String httpAddress, boolean leaving, long start,
		VmCapacity capacity) {

	/** The kind of objects under which daemons register. */
	static final String KIND = "daemons";

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	DaemonRecord {
		capacity = (capacity != null) ? capacity : VmCapacity.UNKNOWN;
	}

	static DaemonRecord read(byte[] json) throws IOException {
		DaemonRecord record = mapper.readValue(json, DaemonRecord.class);
		if (record == null) {
			throw new IOException("no record but null");
		}
		return record;
	}

	byte[] write() {
		try {
			return mapper.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the record of a daemon can't be serialized", ex);
		}
	}

	/**
	 * Returns a start number greater than this one. The time of day may step back by
	 * seconds; a daemon that starts then with a smaller number than before would be
	 * mistaken for an earlier start of itself, and peers would go on ignoring its
	 * messages.
	 * @param wallMillis the time of day
	 * @return the greater of the time of day and the number after this one
	 */
	long startAfter(long wallMillis) {
		return Math.max(wallMillis, this.start + 1);
	}

}
