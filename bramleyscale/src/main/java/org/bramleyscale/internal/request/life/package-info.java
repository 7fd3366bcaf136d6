/**
 * The state machine of one request's life.
 */
package org.bramleyscale.internal.request.life;
