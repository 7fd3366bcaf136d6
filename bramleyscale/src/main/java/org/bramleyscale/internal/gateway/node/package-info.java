/**
 * Assembles the components that relay requests into one daemon.
 */
package org.bramleyscale.internal.gateway.node;
