/**
 * Limits that endpoints name in their answers, kept by all daemons together.
 */
package org.bramleyscale.internal.gateway.limit;
