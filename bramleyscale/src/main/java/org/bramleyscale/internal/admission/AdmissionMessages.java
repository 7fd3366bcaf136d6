package org.bramleyscale.internal.admission;

import org.bramleyscale.internal.peer.MessageCatalog;

/**
 * The peer messages of this slice and their codes, from 70 to 79.
 */
public final class AdmissionMessages {

	private static final int ACCOUNT_DEMAND = 70;

	private static final int ACCOUNT_SHARES = 71;

	private AdmissionMessages() {
	}

	/**
	 * Enters the messages.
	 * @param catalog the catalog to enter them in
	 */
	public static void register(MessageCatalog.Builder catalog) {
		catalog.add(ACCOUNT_DEMAND, AccountDemand.class);
		catalog.add(ACCOUNT_SHARES, AccountShares.class);
	}

}
