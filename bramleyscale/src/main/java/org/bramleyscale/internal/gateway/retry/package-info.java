/**
 * Bounds how much work daemons add to a service by sending requests a second time.
 */
package org.bramleyscale.internal.gateway.retry;
