/**
 * One daemon assembled from its slices.
 */
package org.bramleyscale.internal.node;
