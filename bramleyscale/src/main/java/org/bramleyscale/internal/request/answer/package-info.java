/**
 * The answer stored in a request record, and the readers that deliver it.
 */
package org.bramleyscale.internal.request.answer;
