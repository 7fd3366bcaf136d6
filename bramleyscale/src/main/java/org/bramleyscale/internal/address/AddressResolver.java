package org.bramleyscale.internal.address;

import org.bramleyscale.ClientAccountId;

/**
 * Returns the entries that a client account should call.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface AddressResolver {

	AddressAnswer addresses(ClientAccountId account);

}
