package org.bramleyscale.internal.status;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Locale;
import java.util.regex.Pattern;

import com.google.common.hash.Hashing;

/**
 * Decides what the bearer of a key may see and change.
 *
 * <p>
 * Keys are kept as hashes only and compared in constant time. Without any hash nobody may
 * do anything. Immutable and safe for use by multiple threads.
 */
public final class OperatorAccess {

	private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

	private static final String BEARER = "bearer ";

	private static final String BASIC = "basic ";

	private final byte[] keyHash;

	private final byte[] readKeyHash;

	private final boolean openStatusPage;

	private OperatorAccess(Builder builder) {
		this.keyHash = bytes(builder.keyHash);
		this.readKeyHash = bytes(builder.readKeyHash);
		this.openStatusPage = builder.openStatusPage;
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Whether the status page is shown without a key.
	 * @return true if it is
	 */
	public boolean openStatusPage() {
		return this.openStatusPage;
	}

	/**
	 * What the sender of a request may do.
	 * @param authorization the value of its Authorization header, or null. A bearer token
	 * is the key; so is the password of the Basic scheme, which phone browsers ask for
	 * @return what it may do
	 */
	public Level level(String authorization) {
		String key = key(authorization);
		if (key.isEmpty()) {
			return Level.NONE;
		}
		byte[] hash = bytes(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
		if (MessageDigest.isEqual(hash, this.keyHash)) {
			return Level.CHANGE;
		}
		return MessageDigest.isEqual(hash, this.readKeyHash) ? Level.READ : Level.NONE;
	}

	private static String key(String authorization) {
		if (authorization == null) {
			return "";
		}
		String lowerCase = authorization.toLowerCase(Locale.ROOT);
		if (lowerCase.startsWith(BEARER)) {
			return authorization.substring(BEARER.length()).trim();
		}
		return lowerCase.startsWith(BASIC) ? password(authorization.substring(BASIC.length()).trim()) : "";
	}

	private static String password(String encoded) {
		try {
			String pair = new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8);
			return pair.substring(pair.indexOf(':') + 1);
		}
		catch (IllegalArgumentException ex) {
			return "";
		}
	}

	private static byte[] bytes(String hash) {
		return (hash != null) ? hash.getBytes(StandardCharsets.US_ASCII) : new byte[0];
	}

	/**
	 * What the sender of a request may do, each level including those before it.
	 */
	public enum Level {

		/** Nothing. */
		NONE,
		/** See the status, the documents and the metrics. */
		READ,
		/** Change documents, take VMs out of use, and dump the state. */
		CHANGE

	}

	/**
	 * Builds an access rule. Not safe for use by multiple threads.
	 */
	public static final class Builder {

		private String keyHash;

		private String readKeyHash;

		private boolean openStatusPage;

		private Builder() {
		}

		/**
		 * Sets the hash of the operators' key.
		 * @param keyHash lower-case hex SHA-256, or null for none
		 * @return this builder
		 */
		public Builder keyHash(String keyHash) {
			this.keyHash = require(keyHash);
			return this;
		}

		/**
		 * Sets the hash of a key that may only look.
		 * @param readKeyHash lower-case hex SHA-256, or null for none
		 * @return this builder
		 */
		public Builder readKeyHash(String readKeyHash) {
			this.readKeyHash = require(readKeyHash);
			return this;
		}

		/**
		 * Sets whether the status page is shown without a key.
		 * @param openStatusPage true to show it to everybody; false by default
		 * @return this builder
		 */
		public Builder openStatusPage(boolean openStatusPage) {
			this.openStatusPage = openStatusPage;
			return this;
		}

		public OperatorAccess build() {
			return new OperatorAccess(this);
		}

		private static String require(String hash) {
			if (hash != null && !HASH.matcher(hash).matches()) {
				throw new IllegalArgumentException(
						"key hash '" + hash + "' must be 64 lower-case hex digits (SHA-256)");
			}
			return hash;
		}

	}

}
