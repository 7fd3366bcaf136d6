/**
 * Measures the decisions under load with small fake engines on a manual clock.
 */
package org.bramleyscale.bench.routing;
