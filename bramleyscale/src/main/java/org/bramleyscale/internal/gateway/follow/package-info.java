/**
 * Copies of platform objects, kept up to date by watch and, when the platform turns a
 * daemon away, by peers.
 */
package org.bramleyscale.internal.gateway.follow;
