/**
 * Relays a request from its arrival to its single response.
 */
package org.bramleyscale.internal.gateway.request;
