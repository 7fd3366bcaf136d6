/**
 * One try of a request at an endpoint: reading, resuming, cancelling, retrying.
 */
package org.bramleyscale.internal.request.attempt;
