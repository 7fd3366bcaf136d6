/**
 * Decides which requests wait at this daemon while engines are contended, in which order
 * they are placed, and which are refused.
 */
package org.bramleyscale.internal.gateway.contention;
