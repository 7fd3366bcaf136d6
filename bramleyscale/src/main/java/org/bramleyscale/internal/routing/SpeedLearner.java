package org.bramleyscale.internal.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.Observation;

/**
 * Learns how fast each endpoint computes prompts and how long it takes between tokens.
 *
 * <p>
 * Nobody configures these figures, so they are estimated from finished attempts. A time
 * to first token contains the wait behind other prompts; the prediction made at sending
 * tells how much work lay ahead, so the ratio of prediction to measurement corrects the
 * speed without counting that wait as slowness. Invariant: an estimate is 0 until the
 * first usable observation and positive and finite afterwards. Confined to the
 * scheduler's thread.
 */
public final class SpeedLearner {

	private static final double SLOWEST_TOKENS_PER_SECOND = 1;

	private static final double FASTEST_TOKENS_PER_SECOND = 1e8;

	private static final double SHORTEST_STEP_SECONDS = 1e-6;

	private static final double LONGEST_STEP_SECONDS = 60;

	/** Prompts below this say more about fixed costs than about speed. */
	private static final int SMALLEST_PROMPT_TOKENS = 64;

	/** Largest part of a time to first token that is put down to the fixed cost. */
	private static final double LARGEST_FIXED_PART = 0.75;

	private final Map<EndpointId, Speeds> speeds = new HashMap<>();

	/**
	 * Learns from one attempt.
	 * @param endpoint the endpoint
	 * @param observation what was seen
	 */
	public void observe(EndpointId endpoint, Observation observation) {
		if (observation.failed()) {
			return;
		}
		Speeds known = this.speeds.computeIfAbsent(endpoint, (id) -> new Speeds());
		learnStep(known, observation);
		learnPrefill(known, observation);
	}

	/**
	 * The learnt speed of prompt computation.
	 * @param endpoint the endpoint
	 * @return tokens a second, or 0 if unknown
	 */
	public double prefillTokensPerSecond(EndpointId endpoint) {
		Speeds known = this.speeds.get(endpoint);
		return (known != null) ? known.prefill.value() : 0;
	}

	/**
	 * The learnt time between tokens.
	 * @param endpoint the endpoint
	 * @return seconds, or 0 if unknown
	 */
	public double stepSeconds(EndpointId endpoint) {
		Speeds known = this.speeds.get(endpoint);
		return (known != null) ? known.step.value() : 0;
	}

	/**
	 * Forgets all other endpoints.
	 * @param endpoints the endpoints that still exist
	 */
	public void retain(Collection<EndpointId> endpoints) {
		this.speeds.keySet().retainAll(endpoints);
	}

	private static void learnStep(Speeds known, Observation observation) {
		Duration streaming = observation.streaming();
		if (streaming == null || observation.answerTokens() < 2) {
			return;
		}
		known.step.add(seconds(streaming) / (observation.answerTokens() - 1), 1);
	}

	private static void learnPrefill(Speeds known, Observation observation) {
		Duration firstToken = observation.firstToken();
		if (firstToken == null || observation.promptTokens() < SMALLEST_PROMPT_TOKENS) {
			return;
		}
		double taken = seconds(firstToken);
		double fixed = Math.min(known.step.value(), taken * LARGEST_FIXED_PART);
		double computing = taken - fixed;
		double rate = observation.promptTokens() / computing;
		Duration predicted = observation.predictedFirstToken();
		if (!known.prefill.known() || predicted == null) {
			known.prefill.add(rate, 1);
			return;
		}
		double own = observation.promptTokens() / known.prefill.value();
		double expected = Math.max(own, seconds(predicted) - fixed);
		// The rate never exceeds the true speed, so it is also a floor for the sample.
		double sample = Math.max(rate, known.prefill.value() * expected / computing);
		known.prefill.add(sample, own / expected);
	}

	private static double seconds(Duration duration) {
		return Math.max(1, duration.toNanos()) / 1e9;
	}

	/**
	 * What is known of one endpoint.
	 */
	private static final class Speeds {

		private final RunningEstimate prefill = new RunningEstimate(SLOWEST_TOKENS_PER_SECOND,
				FASTEST_TOKENS_PER_SECOND);

		private final RunningEstimate step = new RunningEstimate(SHORTEST_STEP_SECONDS, LONGEST_STEP_SECONDS);

	}

}
