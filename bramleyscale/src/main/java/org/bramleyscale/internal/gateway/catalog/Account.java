package org.bramleyscale.internal.gateway.catalog;

import java.util.OptionalInt;

import org.bramleyscale.ClientAccountId;

/**
 * A client account as the operator describes it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param id the account
 * @param priority the rank of its requests, which goes before their route's; 0 is the
 * most urgent
 */
public record Account(ClientAccountId id, OptionalInt priority) {
}
