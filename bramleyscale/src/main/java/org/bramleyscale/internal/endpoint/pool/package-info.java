/**
 * The entry's side: grants held, requests in flight and demands for capacity.
 */
package org.bramleyscale.internal.endpoint.pool;
