package org.bramleyscale.internal.admission;

import org.bramleyscale.ModelName;

/**
 * Estimates tokens from text by a ratio learnt per model from reported usage.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface TokenEstimator {

	int estimate(ModelName model, String prompt);

	/**
	 * Learns from a completed request.
	 * @param model the model
	 * @param prompt the prompt
	 * @param tokens the number of tokens reported by the engine
	 */
	void learn(ModelName model, String prompt, int tokens);

}
