/**
 * Decides which endpoint, or group of engines, gets a relayed request.
 */
package org.bramleyscale.internal.gateway.placement;
