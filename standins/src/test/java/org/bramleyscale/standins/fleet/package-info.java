/**
 * Tests of complete daemons under injected faults, on a manual clock.
 */
package org.bramleyscale.standins.fleet;
