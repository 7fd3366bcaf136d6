package org.bramleyscale.internal.peer;

/**
 * The codes 1 to 9 of the wire protocol: what connections say for themselves.
 */
public final class PeerMessages {

	private static final int PING = 1;

	private static final int HELLO = 2;

	private static final int PROOF = 3;

	private PeerMessages() {
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 * @return the same builder
	 */
	public static MessageCatalog.Builder register(MessageCatalog.Builder builder) {
		return builder.add(PING, Ping.class).add(HELLO, Hello.class).add(PROOF, Proof.class);
	}

}
