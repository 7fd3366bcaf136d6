/**
 * Limits the load that daemons add to a service by retrying requests.
 */
package org.bramleyscale.internal.gateway.retry;
