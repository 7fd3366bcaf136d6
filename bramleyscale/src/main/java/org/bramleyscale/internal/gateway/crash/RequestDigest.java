package org.bramleyscale.internal.gateway.crash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * A digest that identifies repetitions of a request: a hash of its path with the query,
 * its client account and its body.
 *
 * <p>
 * Attempt ids differ between attempts, so they aren't included. Different requests have
 * different digests, even if a caller tries to construct a collision. Immutable and safe
 * for use by multiple threads.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestDigest(String value) {

	private static final String ALGORITHM = "SHA-256";

	/** Half of the hash, which is enough to make collisions infeasible. */
	private static final int BYTES = 16;

	/**
	 * Computes a request's digest.
	 * @param target the path and query
	 * @param caller the client account, or empty if the caller has none
	 * @param body the body
	 * @return the digest
	 */
	public static RequestDigest of(String target, String caller, byte[] body) {
		MessageDigest hash = newHash();
		updateWithLength(hash, target.getBytes(StandardCharsets.UTF_8));
		updateWithLength(hash, caller.getBytes(StandardCharsets.UTF_8));
		updateWithLength(hash, body);
		return new RequestDigest(HexFormat.of().formatHex(Arrays.copyOf(hash.digest(), BYTES)));
	}

	/**
	 * Adds bytes preceded by their length, so that the boundaries between parts are
	 * unambiguous.
	 * @param hash the hash to update
	 * @param bytes the bytes to add
	 */
	private static void updateWithLength(MessageDigest hash, byte[] bytes) {
		for (int shift = 24; shift >= 0; shift -= 8) {
			hash.update((byte) (bytes.length >>> shift));
		}
		hash.update(bytes);
	}

	private static MessageDigest newHash() {
		try {
			return MessageDigest.getInstance(ALGORITHM);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("message digest algorithm not available: " + ALGORITHM, ex);
		}
	}

	@Override
	public String toString() {
		return this.value;
	}

}
