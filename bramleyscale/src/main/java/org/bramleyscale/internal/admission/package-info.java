/**
 * Admission control: whether a request is accepted and when it may start.
 */
package org.bramleyscale.internal.admission;
