package org.bramleyscale.internal.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Maps each type of peer message to its fixed code.
 *
 * <p>
 * Codes are part of the wire protocol: a code is never reassigned to another type. Each
 * component registers its own messages in its own range. Immutable and safe for use by
 * multiple threads.
 */
public final class MessageCatalog {

	private final Map<Integer, Class<? extends PeerMessage>> typesByCode;

	private final Map<Class<? extends PeerMessage>, Integer> codesByType;

	private MessageCatalog(Builder builder) {
		this.typesByCode = Map.copyOf(builder.typesByCode);
		this.codesByType = Map.copyOf(builder.codesByType);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the code of a type.
	 * @param type the type
	 * @return its code
	 * @throws IllegalArgumentException if the type has no code
	 */
	public int code(Class<? extends PeerMessage> type) {
		Integer code = this.codesByType.get(type);
		if (code == null) {
			throw new IllegalArgumentException("peer message type '" + type.getName() + "' has no code");
		}
		return code;
	}

	/**
	 * Returns the type of a code.
	 * @param code the code
	 * @return the type, or empty if the code is unknown to this version
	 */
	public Optional<Class<? extends PeerMessage>> type(int code) {
		return Optional.ofNullable(this.typesByCode.get(code));
	}

	/**
	 * Collects types and codes; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Map<Integer, Class<? extends PeerMessage>> typesByCode = new HashMap<>();

		private final Map<Class<? extends PeerMessage>, Integer> codesByType = new HashMap<>();

		private Builder() {
		}

		public Builder add(int code, Class<? extends PeerMessage> type) {
			if (this.typesByCode.putIfAbsent(code, type) != null) {
				throw new IllegalArgumentException("peer message code " + code + " is already assigned");
			}
			this.codesByType.put(type, code);
			return this;
		}

		public MessageCatalog build() {
			return new MessageCatalog(this);
		}

	}

}
