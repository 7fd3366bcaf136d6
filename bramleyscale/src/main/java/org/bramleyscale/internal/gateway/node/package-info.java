/**
 * Joins the slices that relay requests into one daemon.
 */
package org.bramleyscale.internal.gateway.node;
