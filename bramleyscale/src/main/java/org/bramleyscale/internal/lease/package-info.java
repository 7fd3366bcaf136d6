/**
 * Leases with fencing numbers.
 */
package org.bramleyscale.internal.lease;
