package org.bramleyscale.daemon.demo.load;

import java.time.Duration;

/**
 * The kinds of requests that the two users make.
 */
public enum Workload {

	/** A foreman asks for a quote. */
	QUOTE("tan-seng-hock", "hire-assistant", "hire-13b", 200, 2_000, 24, Duration.ofSeconds(10), 40),
	/** A board asks to phrase an arrival notice in Vietnamese. */
	NOTICE("ben-xe-mo", "notices", "notice-7b", 200, 2_000, 16, Duration.ofSeconds(10), 40),
	/** An engineer sends a service manual. */
	MANUAL("tan-seng-hock", "hire-assistant", "hire-13b", 20_000, 200_000, 64, Duration.ofSeconds(60), 4),
	/** Depot staff ask to summarise a day's trip logs. */
	TRIP_LOG("ben-xe-mo", "notices", "notice-7b", 10_000, 60_000, 64, Duration.ofSeconds(60), 4),
	/** The yard app books a transport, at most once. */
	BOOKING("tan-seng-hock", "yard-app", "", 0, 0, 0, Duration.ofSeconds(10), 12);

	private final String account;

	private final String service;

	private final String model;

	private final int leastTokens;

	private final int mostTokens;

	private final int answerTokens;

	private final Duration timeout;

	private final int share;

	Workload(String account, String service, String model, int leastTokens, int mostTokens, int answerTokens,
			Duration timeout, int share) {
		this.account = account;
		this.service = service;
		this.model = model;
		this.leastTokens = leastTokens;
		this.mostTokens = mostTokens;
		this.answerTokens = answerTokens;
		this.timeout = timeout;
		this.share = share;
	}

	/**
	 * The client account that makes such requests.
	 * @return the account's name
	 */
	public String account() {
		return this.account;
	}

	public String service() {
		return this.service;
	}

	/**
	 * The model that answers.
	 * @return the model's name; empty for a plain service
	 */
	public String model() {
		return this.model;
	}

	/**
	 * Whether an engine answers it; otherwise a plain service does.
	 * @return true for a generation
	 */
	public boolean generates() {
		return this.answerTokens > 0;
	}

	/**
	 * Whether prompts are in Vietnamese.
	 * @return true for the boards' and the depots' prompts
	 */
	boolean vietnamese() {
		return this.account.equals("ben-xe-mo");
	}

	int leastTokens() {
		return this.leastTokens;
	}

	int mostTokens() {
		return this.mostTokens;
	}

	int answerTokens() {
		return this.answerTokens;
	}

	Duration timeout() {
		return this.timeout;
	}

	/**
	 * How many of a hundred requests are of this kind.
	 * @return the share in percent; all shares add up to 100
	 */
	int share() {
		return this.share;
	}

}
