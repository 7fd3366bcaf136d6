/**
 * Decides whether this daemon may send a request to an endpoint now.
 */
package org.bramleyscale.internal.gateway.eligibility;
