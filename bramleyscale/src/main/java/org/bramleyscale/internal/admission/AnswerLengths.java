package org.bramleyscale.internal.admission;

import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.ServiceName;

/**
 * Learns which part of the largest allowed answer a service's requests really use.
 *
 * <p>
 * Callers ask for generous limits; a deadline check against the full limit would refuse
 * requests that finish easily. Confined to the scheduler's thread.
 */
final class AnswerLengths {

	private static final double INITIAL_PART = 0.25;

	private static final double GAIN = 0.05;

	private final Map<ServiceName, Double> parts = new HashMap<>();

	double part(ServiceName service) {
		return this.parts.getOrDefault(service, INITIAL_PART);
	}

	void learn(AdmissionRequest request, long usedTokens) {
		if (request.maxTokens() <= 0) {
			return;
		}
		double answer = Math.max(0, usedTokens - request.promptTokens());
		double sample = Math.min(1, answer / request.maxTokens());
		double before = part(request.service());
		this.parts.put(request.service(), before + GAIN * (sample - before));
	}

}
