package org.bramleyscale.internal.peer;

/**
 * A typed message between two daemons.
 *
 * <p>
 * Implementations are records whose components Jackson writes in order as a MessagePack
 * array. Each belongs to the component that uses it and is registered in the
 * {@link MessageCatalog} under a fixed code. Immutable.
 */
public interface PeerMessage {

	/**
	 * The name under which messages of a type are counted.
	 * @param type the type
	 * @return the value of its {@link MessageName}, or its simple name if it has none
	 */
	static String nameOf(Class<? extends PeerMessage> type) {
		MessageName name = type.getAnnotation(MessageName.class);
		return (name != null) ? name.value() : type.getSimpleName();
	}

}
