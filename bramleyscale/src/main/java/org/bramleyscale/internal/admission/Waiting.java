package org.bramleyscale.internal.admission;

import org.bramleyscale.ServiceName;

/**
 * An admitted request.
 *
 * @param request the request
 * @param lengthClass its class of length
 * @param cost the tokens it weighs in the queue
 * @param chargedTokens the tokens taken from its account's bucket
 * @param since when it was admitted
 */
record Waiting(AdmissionRequest request, LengthClass lengthClass, long cost, long chargedTokens, long since) {

	ServiceName service() {
		return this.request.service();
	}

}
