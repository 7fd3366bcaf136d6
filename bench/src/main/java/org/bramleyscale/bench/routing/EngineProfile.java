package org.bramleyscale.bench.routing;

/**
 * How a fake engine behaves.
 *
 * @param prefillTokensPerSecond speed of prompt computation
 * @param stepSeconds fixed cost of one step
 * @param tokenSeconds further cost of each answer token in a step
 * @param chunkTokens most prompt tokens computed in one step
 * @param slots most requests at work
 * @param kvCapacity KV memory in tokens
 * @param stepPriorities whether priorities decide at each step which prompt is computed,
 * or only which request begins next
 */
record EngineProfile(double prefillTokensPerSecond, double stepSeconds, double tokenSeconds, int chunkTokens, int slots,
		long kvCapacity, boolean stepPriorities) {

	EngineProfile faster(double factor) {
		return new EngineProfile(this.prefillTokensPerSecond * factor, this.stepSeconds / factor,
				this.tokenSeconds / factor, this.chunkTokens, this.slots, this.kvCapacity, this.stepPriorities);
	}

	/**
	 * The time of a step that computes as much of a prompt as one may.
	 * @return seconds
	 */
	double busyStepSeconds() {
		return this.stepSeconds + this.chunkTokens / this.prefillTokensPerSecond;
	}

	/**
	 * The time a busy engine spends on a request.
	 * @param promptTokens prompt tokens to compute
	 * @param answerTokens answer tokens
	 * @return engine seconds
	 */
	double workSeconds(double promptTokens, double answerTokens) {
		double perPromptToken = 1 / this.prefillTokensPerSecond + this.stepSeconds / this.chunkTokens;
		return promptTokens * perPromptToken + answerTokens * this.tokenSeconds;
	}

}
