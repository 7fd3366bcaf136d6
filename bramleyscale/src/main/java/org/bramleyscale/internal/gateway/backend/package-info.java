/**
 * The endpoints that requests are forwarded to, their availability and their health.
 */
package org.bramleyscale.internal.gateway.backend;
