/**
 * Clock and scheduler of the daemon's single thread: interfaces and implementations.
 */
package org.bramleyscale.internal.time;
