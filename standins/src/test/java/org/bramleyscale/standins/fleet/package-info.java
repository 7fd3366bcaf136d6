/**
 * Whole daemons under faults, on a manual clock.
 */
package org.bramleyscale.standins.fleet;
