/**
 * Requests on their way between the daemon that a caller reached and their home.
 */
package org.bramleyscale.internal.request.forward;
