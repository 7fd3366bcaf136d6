/**
 * The lifecycle state machine of a request.
 */
package org.bramleyscale.internal.request.life;
