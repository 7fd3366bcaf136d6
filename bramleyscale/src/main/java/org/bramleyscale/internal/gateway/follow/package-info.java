/**
 * Copies of platform objects, kept up to date by watches of the platform's store and,
 * when it refuses a daemon's calls, by peers.
 */
package org.bramleyscale.internal.gateway.follow;
