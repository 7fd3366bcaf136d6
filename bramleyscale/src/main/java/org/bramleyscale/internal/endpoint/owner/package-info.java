/**
 * The owner's side: accounting, load reports and grants of the endpoints that this daemon
 * owns.
 */
package org.bramleyscale.internal.endpoint.owner;
