/**
 * Relayed requests: method, path, headers and body pass unchanged between a caller and an
 * endpoint. The slices below decide where each goes; an adapter outside this library
 * knows what the headers and documents are called.
 */
package org.bramleyscale.internal.gateway;
