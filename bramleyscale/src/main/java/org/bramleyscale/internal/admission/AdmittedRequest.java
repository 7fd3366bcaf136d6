package org.bramleyscale.internal.admission;

import org.bramleyscale.ServiceName;

/**
 * An admitted request, waiting or started.
 *
 * @param request the request
 * @param lengthClass the length class of its prompt
 * @param cost its cost in the fair queue, in tokens
 * @param chargedTokens the tokens taken from its account's bucket
 * @param admittedAt when it was admitted, in nanoseconds of the scheduler's clock
 */
record AdmittedRequest(AdmissionRequest request, LengthClass lengthClass, long cost, long chargedTokens,
		long admittedAt) {

	ServiceName service() {
		return this.request.service();
	}

}
