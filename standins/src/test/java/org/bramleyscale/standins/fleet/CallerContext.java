package org.bramleyscale.standins.fleet;

/**
 * The state shared by all callers of a run.
 *
 * @param fleet the fleet
 * @param addresses the cached addresses
 * @param memory is notified of requests that have ended for their caller
 * @param violations collects violated invariants
 */
record CallerContext(Fleet fleet, AddressCache addresses, MemoryRetentionCheck memory, Violations violations) {
}
