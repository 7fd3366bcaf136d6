package org.bramleyscale.daemon.demo.load;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * A seeded sequence of requests and of the pauses between them.
 *
 * <p>
 * The same seed gives the same sequence. Lengths are spread evenly over their logarithm,
 * so that most prompts are short and a few are very long. Confined to one thread.
 */
public final class LoadPlan {

	private static final int HUNDRED = 100;

	private static final double NANOS = 1e9;

	private final RandomGenerator random;

	private final PromptText prompts;

	private final double requestsPerSecond;

	private int made;

	/**
	 * Makes a plan.
	 * @param random the source of randomness
	 * @param requestsPerSecond the mean rate
	 */
	public LoadPlan(RandomGenerator random, double requestsPerSecond) {
		if (requestsPerSecond <= 0) {
			throw new IllegalArgumentException("requests per second must be positive, was " + requestsPerSecond);
		}
		this.random = random;
		this.prompts = new PromptText(random);
		this.requestsPerSecond = requestsPerSecond;
	}

	/**
	 * The pause before the next request, as in independent arrivals.
	 * @return the pause
	 */
	public Duration pause() {
		return Duration.ofNanos((long) (-Math.log(1 - this.random.nextDouble()) / this.requestsPerSecond * NANOS));
	}

	/**
	 * The next request.
	 * @return the request
	 */
	public PlannedRequest next() {
		this.made++;
		Workload workload = workload();
		if (!workload.generates()) {
			return new PlannedRequest(this.made, workload, "{\"booking\":\"B-" + this.made + "\",\"crushers\":1}", 0);
		}
		return generation(workload, tokens(workload));
	}

	/**
	 * A request of a given kind and length.
	 * @param workload the kind
	 * @param tokens the length of the prompt
	 * @return the request
	 */
	public PlannedRequest next(Workload workload, int tokens) {
		this.made++;
		return generation(workload, tokens);
	}

	private PlannedRequest generation(Workload workload, int tokens) {
		return new PlannedRequest(this.made, workload, this.prompts.prompt(workload, this.made, tokens), tokens);
	}

	private Workload workload() {
		int point = this.random.nextInt(HUNDRED);
		for (Workload workload : Workload.values()) {
			point -= workload.share();
			if (point < 0) {
				return workload;
			}
		}
		throw new IllegalStateException("the shares of the workloads don't add up to " + HUNDRED);
	}

	private int tokens(Workload workload) {
		double ratio = workload.mostTokens() / (double) workload.leastTokens();
		return (int) (workload.leastTokens() * Math.pow(ratio, this.random.nextDouble()));
	}

}
