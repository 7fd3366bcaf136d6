/**
 * Keeps requests within the regions in which they may run.
 */
package org.bramleyscale.internal.gateway.region;
