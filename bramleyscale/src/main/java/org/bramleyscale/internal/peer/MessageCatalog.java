package org.bramleyscale.internal.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Maps each type of peer message to its fixed code and name.
 *
 * <p>
 * Codes are part of the wire protocol: a code is never reassigned to another type. Each
 * component registers its own messages in its own range. Names of metrics end with the
 * name of a message, so it stays when a class is renamed. Immutable and safe for use by
 * multiple threads.
 */
public final class MessageCatalog {

	private final Map<Integer, Class<? extends PeerMessage>> typesByCode;

	private final Map<Class<? extends PeerMessage>, Integer> codesByType;

	private final Map<Class<? extends PeerMessage>, String> namesByType;

	private MessageCatalog(Builder builder) {
		this.typesByCode = Map.copyOf(builder.typesByCode);
		this.codesByType = Map.copyOf(builder.codesByType);
		this.namesByType = Map.copyOf(builder.namesByType);
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
	 * Returns the name under which messages of a type are counted.
	 * @param type the type
	 * @return its name
	 * @throws IllegalArgumentException if the type is not in the catalog
	 */
	public String name(Class<? extends PeerMessage> type) {
		String name = this.namesByType.get(type);
		if (name == null) {
			throw new IllegalArgumentException("peer message type '" + type.getName() + "' has no name");
		}
		return name;
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
	 * Collects types, codes and names; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Map<Integer, Class<? extends PeerMessage>> typesByCode = new HashMap<>();

		private final Map<Class<? extends PeerMessage>, Integer> codesByType = new HashMap<>();

		private final Map<Class<? extends PeerMessage>, String> namesByType = new HashMap<>();

		private Builder() {
		}

		/**
		 * Adds a type that is counted under the simple name of its class.
		 * @param code its code
		 * @param type the type
		 * @return this builder
		 */
		public Builder add(int code, Class<? extends PeerMessage> type) {
			return add(code, type, type.getSimpleName());
		}

		/**
		 * Adds a type that is counted under a name of its own.
		 * @param code its code
		 * @param type the type
		 * @param name its name, unique among the messages of the catalog
		 * @return this builder
		 */
		public Builder add(int code, Class<? extends PeerMessage> type, String name) {
			if (this.typesByCode.putIfAbsent(code, type) != null) {
				throw new IllegalArgumentException("peer message code " + code + " is already assigned");
			}
			this.codesByType.put(type, code);
			this.namesByType.put(type, name);
			return this;
		}

		public MessageCatalog build() {
			return new MessageCatalog(this);
		}

	}

}
