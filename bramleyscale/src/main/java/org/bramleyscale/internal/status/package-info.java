/**
 * What operators see.
 */
package org.bramleyscale.internal.status;
