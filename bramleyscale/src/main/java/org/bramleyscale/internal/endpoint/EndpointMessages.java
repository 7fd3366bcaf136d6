package org.bramleyscale.internal.endpoint;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * The wire codes of the messages of this package, 30 to 49.
 */
public final class EndpointMessages {

	private static final int DEMAND = 30;

	private static final int GRANT = 31;

	private static final int OWNER_ANNOUNCED = 32;

	private static final int REDIRECT = 33;

	private static final int RESERVE = 34;

	private static final int RESERVED = 35;

	private static final int REFUSED = 36;

	private static final int RENEW = 37;

	private static final int RENEWED = 38;

	private static final int RELEASE = 39;

	private EndpointMessages() {
	}

	/**
	 * Registers the messages.
	 * @param catalog the catalog being built
	 */
	public static void register(MessageCatalog.Builder catalog) {
		catalog.add(DEMAND, Demand.class);
		catalog.add(GRANT, Grant.class);
		catalog.add(OWNER_ANNOUNCED, OwnerAnnounced.class);
		catalog.add(REDIRECT, Redirect.class);
		catalog.add(RESERVE, Reserve.class);
		catalog.add(RESERVED, Reserved.class);
		catalog.add(REFUSED, Refused.class);
		catalog.add(RENEW, Renew.class);
		catalog.add(RENEWED, Renewed.class);
		catalog.add(RELEASE, Release.class);
	}

}
