/**
 * Limits that endpoints name in their answers, enforced by all daemons together.
 */
package org.bramleyscale.internal.gateway.limit;
