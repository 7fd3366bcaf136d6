/**
 * Simple policies to measure the real one against.
 */
package org.bramleyscale.internal.routing.baseline;
