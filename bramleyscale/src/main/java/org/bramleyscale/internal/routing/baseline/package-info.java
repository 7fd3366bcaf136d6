/**
 * Simple policies that serve as baselines for the predictive policy in benchmarks.
 */
package org.bramleyscale.internal.routing.baseline;
