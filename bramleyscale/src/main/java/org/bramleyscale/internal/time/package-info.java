/**
 * Time and the daemon's single thread, as ports and implementations.
 */
package org.bramleyscale.internal.time;
