/**
 * Which endpoint a request goes to.
 */
package org.bramleyscale.internal.routing;
