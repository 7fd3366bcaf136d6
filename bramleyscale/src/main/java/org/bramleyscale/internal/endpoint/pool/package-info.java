/**
 * The entry's side: grants held, work in flight and demands for more.
 */
package org.bramleyscale.internal.endpoint.pool;
