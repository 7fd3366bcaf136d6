/**
 * Forwards requests from the entry daemon, to which the caller is connected, to the home
 * daemon, which issued the request id.
 */
package org.bramleyscale.internal.request.forward;
