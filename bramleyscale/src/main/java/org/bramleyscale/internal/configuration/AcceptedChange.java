package org.bramleyscale.internal.configuration;

/**
 * One accepted change, as the head remembers it.
 *
 * @param version the version that the change made
 * @param changeId the change's id
 * @param author who made it
 * @param fingerprint tells changes with the same id apart
 */
record AcceptedChange(long version, String changeId, String author, long fingerprint) {
}
