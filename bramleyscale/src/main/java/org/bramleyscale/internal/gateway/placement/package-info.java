/**
 * Chooses the endpoint or the group of engines for each relayed request.
 */
package org.bramleyscale.internal.gateway.placement;
