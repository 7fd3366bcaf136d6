/**
 * Membership of the fleet: which daemons exist and whether they are responsive.
 */
package org.bramleyscale.internal.membership;
