/**
 * Detection of requests that crash the endpoints which run them, as opposed to requests
 * that happen to be in flight during a crash.
 */
package org.bramleyscale.internal.gateway.crash;
