/**
 * HTTP connections with callers, endpoints and the platform, based on Netty.
 */
package org.bramleyscale.internal.gateway.http;
