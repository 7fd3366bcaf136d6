package org.bramleyscale.internal.endpoint;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence one more at each event of a boot; a jump means that events were lost
 * @param prefix the hash of the prefix
 * @param stored true if it was stored, false if it was evicted
 */
public record CacheEvent(long sequence, long prefix, boolean stored) {
}
