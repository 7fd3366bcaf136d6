/**
 * The endpoints that relayed requests are sent to, as the platform lists them.
 */
package org.bramleyscale.internal.gateway.backend;
