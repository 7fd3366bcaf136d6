/**
 * Message exchange between daemons over TCP.
 */
package org.bramleyscale.internal.peer;
