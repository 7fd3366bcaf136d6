/**
 * What each endpoint has to do, summed over all daemons.
 */
package org.bramleyscale.internal.gateway.load;
