/**
 * Jobs that a single daemon runs under a lease: model loads.
 */
package org.bramleyscale.internal.steward;
