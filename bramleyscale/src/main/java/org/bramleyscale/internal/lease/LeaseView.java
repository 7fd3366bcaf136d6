package org.bramleyscale.internal.lease;

/**
 * The state dump entry of one lease.
 *
 * @param name the leased job's name
 * @param holder the holder as last observed by this daemon, or {@code unknown}
 * @param number the fencing number if this daemon holds it, else 0
 * @param remainingMillis the remaining validity if this daemon holds it, else 0
 */
record LeaseView(String name, String holder, long number, long remainingMillis) {
}
