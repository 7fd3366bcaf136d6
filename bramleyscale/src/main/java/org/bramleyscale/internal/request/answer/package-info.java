/**
 * The answer of a request as its record keeps it, and those who read it.
 */
package org.bramleyscale.internal.request.answer;
