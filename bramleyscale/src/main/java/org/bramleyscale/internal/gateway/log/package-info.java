/**
 * One JSON line for each decision about a request and each change of belief.
 */
package org.bramleyscale.internal.gateway.log;
