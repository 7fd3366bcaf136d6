/**
 * A request's life, its record, and its single outcome.
 */
package org.bramleyscale.internal.request;
