/**
 * What operators see and change: the status, its problems, the dump, the metrics, and the
 * register and rules, over HTTP.
 */
package org.bramleyscale.internal.status;
