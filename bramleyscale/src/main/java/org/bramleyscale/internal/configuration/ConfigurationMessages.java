package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * The codes of this slice's messages.
 */
public final class ConfigurationMessages {

	private static final int PING = 20;

	private static final int DIGEST = 21;

	private static final int DELTA = 22;

	private static final int REQUEST = 23;

	private static final int CHUNK = 24;

	private static final int HELD = 25;

	private ConfigurationMessages() {
	}

	/**
	 * Enters the messages.
	 * @param catalog the catalog being built
	 * @return the catalog being built
	 */
	public static MessageCatalog.Builder register(MessageCatalog.Builder catalog) {
		return catalog.add(PING, ConfigurationPing.class)
			.add(DIGEST, ConfigurationDigest.class)
			.add(DELTA, ConfigurationDelta.class)
			.add(REQUEST, ConfigurationRequest.class)
			.add(CHUNK, ConfigurationChunk.class)
			.add(HELD, ConfigurationHeld.class);
	}

}
