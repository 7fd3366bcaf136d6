package org.bramleyscale.internal.admission;

import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.ServiceName;

/**
 * Estimates the fraction of the maximum answer length that a service's requests use.
 *
 * <p>
 * Callers set generous limits; a deadline check against the full limit would refuse
 * requests that complete well before their deadline. Confined to the scheduler's thread.
 */
final class AnswerLengthEstimator {

	private static final double INITIAL_FRACTION = 0.25;

	private static final double GAIN = 0.05;

	private final Map<ServiceName, Double> usedFractions = new HashMap<>();

	double usedFraction(ServiceName service) {
		return this.usedFractions.getOrDefault(service, INITIAL_FRACTION);
	}

	void learn(AdmissionRequest request, long usedTokens) {
		if (request.maxTokens() <= 0) {
			return;
		}
		double answer = Math.max(0, usedTokens - request.promptTokens());
		double sample = Math.min(1, answer / request.maxTokens());
		double previous = usedFraction(request.service());
		this.usedFractions.put(request.service(), previous + GAIN * (sample - previous));
	}

}
