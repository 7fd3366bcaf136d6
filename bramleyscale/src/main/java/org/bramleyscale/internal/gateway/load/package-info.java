/**
 * Tracks the load of each endpoint over all daemons.
 */
package org.bramleyscale.internal.gateway.load;
