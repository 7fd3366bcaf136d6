package org.bramleyscale.internal.peer;

/**
 * Registers the messages of the connections themselves, codes 1 to 9 of the wire
 * protocol.
 */
public final class PeerMessages {

	private static final int PING = 1;

	private static final int HELLO = 2;

	private static final int PROOF = 3;

	private PeerMessages() {
	}

	/**
	 * Registers the messages of this package.
	 * @param builder the builder of the catalog
	 * @return the same builder
	 */
	public static MessageCatalog.Builder register(MessageCatalog.Builder builder) {
		return builder.add(PING, Ping.class).add(HELLO, Hello.class).add(PROOF, Proof.class);
	}

}
