package org.bramleyscale.internal.address;

import org.bramleyscale.ClientAccountId;

/**
 * Tells callers which entries to use.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface AddressBook {

	AddressAnswer addresses(ClientAccountId account);

}
