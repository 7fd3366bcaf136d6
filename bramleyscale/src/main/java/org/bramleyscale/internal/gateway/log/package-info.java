/**
 * A structured log with one line of JSON for each decision about a request and each
 * change in what a daemon assumes about the system.
 */
package org.bramleyscale.internal.gateway.log;
