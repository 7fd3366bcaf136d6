package org.bramleyscale.internal.admission;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * The peer messages of admission and their codes, from 70 to 79.
 */
public final class AdmissionMessages {

	private static final int ACCOUNT_DEMAND = 70;

	private static final int ACCOUNT_SHARES = 71;

	private AdmissionMessages() {
	}

	/**
	 * Registers the messages.
	 * @param catalog the catalog to register them in
	 */
	public static void register(MessageCatalog.Builder catalog) {
		catalog.add(ACCOUNT_DEMAND, AccountDemand.class);
		catalog.add(ACCOUNT_SHARES, AccountShares.class);
	}

}
