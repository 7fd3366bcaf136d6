/**
 * Measurements of daemons that run as processes of their own.
 */
package org.bramleyscale.bench.fleet;
