/**
 * Leases with numbers that fence off late holders.
 */
package org.bramleyscale.internal.lease;
