/**
 * Which daemons exist and answer.
 */
package org.bramleyscale.internal.membership;
