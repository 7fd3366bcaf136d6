/**
 * Costs of a daemon's duties and their slopes over the size of the fleet.
 */
package org.bramleyscale.bench.capacity;
