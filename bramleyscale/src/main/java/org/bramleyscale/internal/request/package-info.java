/**
 * Handling of requests: admission, dispatch to endpoints, retries, records and outcomes.
 */
package org.bramleyscale.internal.request;
