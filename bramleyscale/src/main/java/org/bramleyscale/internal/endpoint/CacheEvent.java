package org.bramleyscale.internal.endpoint;

/**
 * A change to an engine's prefix cache.
 *
 * @param sequence the sequence number, which increases by one with each event of a boot;
 * a gap means that events were lost
 * @param prefix the hash of the prefix
 * @param stored true if the prefix was stored, false if it was evicted
 */
public record CacheEvent(long sequence, long prefix, boolean stored) {
}
