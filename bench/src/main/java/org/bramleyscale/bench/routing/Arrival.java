package org.bramleyscale.bench.routing;

/**
 * One offered request.
 *
 * @param number its number
 * @param atNanos when it arrives
 * @param account the number of its client account
 * @param entry the number of the entry it arrives at
 * @param promptTokens tokens of the prompt; 0 for a call of the plain service
 * @param answerTokens tokens of the answer, which only the engine knows
 * @param maxTokens largest number of answer tokens
 * @param prefix hash of the shared beginning, 0 if none
 * @param prefixTokens tokens of that beginning
 * @param timeLeftNanos its deadline, from arrival
 */
record Arrival(int number, long atNanos, int account, int entry, int promptTokens, int answerTokens, int maxTokens,
		long prefix, int prefixTokens, long timeLeftNanos) {

	Arrival numbered(int newNumber) {
		return new Arrival(newNumber, this.atNanos, this.account, this.entry, this.promptTokens, this.answerTokens,
				this.maxTokens, this.prefix, this.prefixTokens, this.timeLeftNanos);
	}

	boolean plain() {
		return this.promptTokens == 0;
	}

	long kvTokens() {
		return (long) this.promptTokens + this.maxTokens;
	}

}
