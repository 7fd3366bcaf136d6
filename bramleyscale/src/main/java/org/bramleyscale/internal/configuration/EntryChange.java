package org.bramleyscale.internal.configuration;

import java.util.Optional;

/**
 * How one entry differs between two versions, for people to read.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param key which entry
 * @param before the entry in the earlier version, or empty if it was added
 * @param after the entry in the later version, or empty if it was removed
 */
public record EntryChange(EntryKey key, Optional<ConfigurationEntry> before, Optional<ConfigurationEntry> after) {
}
