/**
 * Attempts of a request at an endpoint: reading, resuming, cancelling and retrying.
 */
package org.bramleyscale.internal.request.attempt;
