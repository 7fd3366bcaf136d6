package org.bramleyscale.internal.gateway.http;

import java.util.Optional;

/**
 * Counts what is read and dropped for the sake of one call.
 *
 * <p>
 * Invariant: it is bounded, since faulty endpoints send without end. Confined to the
 * loop's thread.
 */
final class UnneededBytes {

	/** A sound endpoint sends one interim response at most, to 100-continue. */
	private static final int MAX_INTERIM_RESPONSES = 8;

	private static final int MAX_BYTES = 1024 * 1024;

	/** What a chunk counts at least, since each costs time however short it is. */
	private static final int MIN_CHUNK_BYTES = 64;

	private int interimResponses;

	private int bytes;

	/**
	 * Counts an interim response.
	 * @return why the connection must be closed, or empty
	 */
	Optional<String> addInterimResponse() {
		this.interimResponses++;
		return (this.interimResponses > MAX_INTERIM_RESPONSES)
				? Optional.of("more than " + MAX_INTERIM_RESPONSES + " interim responses") : Optional.empty();
	}

	/**
	 * Counts a chunk.
	 * @param length its length
	 * @return why the connection must be closed, or empty
	 */
	Optional<String> add(int length) {
		this.bytes += Math.max(MIN_CHUNK_BYTES, length);
		return (this.bytes > MAX_BYTES) ? Optional.of("more than " + MAX_BYTES + " bytes that belong to no response")
				: Optional.empty();
	}

}
