/**
 * Requests that end the endpoints which run them, told from those that fall with them.
 */
package org.bramleyscale.internal.gateway.crash;
