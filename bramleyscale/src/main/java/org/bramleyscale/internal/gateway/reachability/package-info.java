/**
 * Which services each daemon of the fleet can reach, as opposed to which endpoints run.
 */
package org.bramleyscale.internal.gateway.reachability;
