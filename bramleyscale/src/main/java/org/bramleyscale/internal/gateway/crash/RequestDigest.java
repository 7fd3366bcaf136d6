package org.bramleyscale.internal.gateway.crash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * What stays the same when a request comes again: its path with the query, its caller,
 * and its body.
 *
 * <p>
 * Attempt ids differ each time, so they aren't part of it. Two requests have the same
 * digest only if they are the same, also where a caller would like them to. Immutable and
 * safe for use by multiple threads.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestDigest(String value) {

	private static final String ALGORITHM = "SHA-256";

	/** Half of the hash: nobody finds two requests that share it. */
	private static final int BYTES = 16;

	/**
	 * Computes a request's digest.
	 * @param target path and query
	 * @param caller the client account, or empty if the caller has none
	 * @param body the body
	 * @return the digest
	 */
	public static RequestDigest of(String target, String caller, byte[] body) {
		MessageDigest hash = hash();
		part(hash, target.getBytes(StandardCharsets.UTF_8));
		part(hash, caller.getBytes(StandardCharsets.UTF_8));
		part(hash, body);
		return new RequestDigest(HexFormat.of().formatHex(Arrays.copyOf(hash.digest(), BYTES)));
	}

	/**
	 * Adds bytes with their length before them, so that no part runs into the next one.
	 * @param hash takes the part
	 * @param bytes the part
	 */
	private static void part(MessageDigest hash, byte[] bytes) {
		for (int shift = 24; shift >= 0; shift -= 8) {
			hash.update((byte) (bytes.length >>> shift));
		}
		hash.update(bytes);
	}

	private static MessageDigest hash() {
		try {
			return MessageDigest.getInstance(ALGORITHM);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java runtime has " + ALGORITHM, ex);
		}
	}

	@Override
	public String toString() {
		return this.value;
	}

}
