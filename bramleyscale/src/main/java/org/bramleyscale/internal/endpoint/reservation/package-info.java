/**
 * Reservation of KV memory on groups of engines.
 */
package org.bramleyscale.internal.endpoint.reservation;
