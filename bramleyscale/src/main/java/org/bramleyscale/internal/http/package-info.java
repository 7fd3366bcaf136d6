/**
 * The HTTP adapters towards callers, operators and endpoints.
 */
package org.bramleyscale.internal.http;
