/**
 * Chooses the endpoint or the group of engines for each forwarded request.
 */
package org.bramleyscale.internal.gateway.placement;
