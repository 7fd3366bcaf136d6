/**
 * HTTP towards callers, endpoints and the platform, on Netty.
 */
package org.bramleyscale.internal.gateway.http;
