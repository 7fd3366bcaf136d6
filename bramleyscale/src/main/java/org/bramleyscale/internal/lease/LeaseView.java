package org.bramleyscale.internal.lease;

/**
 * One lease as a state dump shows it.
 *
 * @param name the leased job's name
 * @param holder who holds it as far as this daemon knows
 * @param number the fencing number if this daemon holds it, else 0
 * @param remainingMillis how long it lasts if this daemon holds it, else 0
 */
record LeaseView(String name, String holder, long number, long remainingMillis) {
}
