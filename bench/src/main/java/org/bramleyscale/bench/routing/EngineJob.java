package org.bramleyscale.bench.routing;

/**
 * One request at a fake engine.
 */
final class EngineJob {

	private final int promptTokens;

	private final long prefix;

	private final int prefixTokens;

	private final int answerTokens;

	private final long kvTokens;

	private final int priority;

	private final Listener listener;

	private long sequence;

	private int prefillLeft;

	private int cachedTokens;

	private int generated;

	private boolean gone;

	EngineJob(int promptTokens, long prefix, int prefixTokens, int answerTokens, long kvTokens, int priority,
			Listener listener) {
		this.promptTokens = promptTokens;
		this.prefix = prefix;
		this.prefixTokens = prefixTokens;
		this.answerTokens = answerTokens;
		this.kvTokens = kvTokens;
		this.priority = priority;
		this.listener = listener;
		this.prefillLeft = promptTokens;
	}

	long prefix() {
		return this.prefix;
	}

	int prefixTokens() {
		return this.prefixTokens;
	}

	long kvTokens() {
		return this.kvTokens;
	}

	int priority() {
		return this.priority;
	}

	long sequence() {
		return this.sequence;
	}

	int prefillLeft() {
		return this.prefillLeft;
	}

	int computedTokens() {
		return this.promptTokens - this.cachedTokens;
	}

	boolean gone() {
		return this.gone;
	}

	void leave() {
		this.gone = true;
	}

	void accepted(long number) {
		this.sequence = number;
	}

	void begin(int cached) {
		this.cachedTokens = Math.max(0, Math.min(cached, this.promptTokens - 1));
		this.prefillLeft = this.promptTokens - this.cachedTokens;
	}

	void compute(int tokens) {
		this.prefillLeft -= tokens;
	}

	/**
	 * Makes the next answer token.
	 * @return whether it was the last
	 */
	boolean generate() {
		this.generated++;
		if (this.generated == 1) {
			this.listener.firstToken();
		}
		if (this.generated < this.answerTokens) {
			return false;
		}
		this.gone = true;
		this.listener.finished(computedTokens());
		return true;
	}

	/**
	 * Told of the answer.
	 */
	interface Listener {

		void firstToken();

		void finished(int computedTokens);

	}

}
