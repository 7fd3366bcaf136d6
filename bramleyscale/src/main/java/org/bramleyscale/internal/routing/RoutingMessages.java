package org.bramleyscale.internal.routing;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * The peer messages of routing and their codes, from 75 to 79.
 */
public final class RoutingMessages {

	private static final int SPEED_DIGEST = 75;

	private RoutingMessages() {
	}

	/**
	 * Registers the messages.
	 * @param catalog the catalog to register them in
	 */
	public static void register(MessageCatalog.Builder catalog) {
		catalog.add(SPEED_DIGEST, SpeedDigest.class);
	}

}
