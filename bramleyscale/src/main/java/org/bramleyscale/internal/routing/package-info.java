/**
 * Selection of the endpoint that a request is sent to.
 */
package org.bramleyscale.internal.routing;
