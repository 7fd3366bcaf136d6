/**
 * The owner's side: exact accounts, load reports and grants of the endpoints owned here.
 */
package org.bramleyscale.internal.endpoint.owner;
