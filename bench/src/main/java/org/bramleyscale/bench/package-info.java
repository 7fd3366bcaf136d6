/**
 * The measurement programs of the command line and what they share.
 */
package org.bramleyscale.bench;
