/**
 * Whether and when a request may go on.
 */
package org.bramleyscale.internal.admission;
