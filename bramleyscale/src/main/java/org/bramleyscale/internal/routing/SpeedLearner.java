package org.bramleyscale.internal.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.Observation;

/**
 * Learns how fast each endpoint computes prompts and how long it takes between tokens.
 *
 * <p>
 * Nobody configures these figures, so they are estimated from finished attempts. A time
 * to first token contains the wait behind other prompts, so tokens over time is at most
 * the speed: the estimate is a high one of the recent samples. With few samples it leans
 * on the usual speed of all endpoints, else one prompt that met a busy endpoint would
 * mark it as slow and nobody would try it again. Invariant: an estimate is 0 until the
 * first usable observation and positive and finite afterwards. Confined to the
 * scheduler's thread.
 */
public final class SpeedLearner {

	private static final double SLOWEST_TOKENS_PER_SECOND = 1;

	private static final double FASTEST_TOKENS_PER_SECOND = 1e8;

	private static final double SHORTEST_STEP_SECONDS = 1e-6;

	private static final double LONGEST_STEP_SECONDS = 60;

	private static final double STEP_GAIN = 0.1;

	/** Prompts below this say more about fixed costs than about speed. */
	private static final int SMALLEST_PROMPT_TOKENS = 64;

	/** Largest part of a time to first token that is put down to the fixed cost. */
	private static final double LARGEST_FIXED_PART = 0.5;

	/** A prompt expected to wait for longer than it computes says little. */
	private static final double SMALLEST_OWN_PART = 0.5;

	/** How many samples the usual speed counts for. */
	private static final double PRIOR_SAMPLES = 3;

	private final Map<EndpointId, Speeds> speeds = new HashMap<>();

	private final List<BiConsumer<EndpointId, Observation>> listeners = new ArrayList<>();

	private double usual;

	/**
	 * Adds a listener called with each observation.
	 * @param listener the listener
	 */
	public void onObserved(BiConsumer<EndpointId, Observation> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Learns from one attempt.
	 * @param endpoint the endpoint
	 * @param observation what was seen
	 */
	public void observe(EndpointId endpoint, Observation observation) {
		this.listeners.forEach((listener) -> listener.accept(endpoint, observation));
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
		return (known != null) ? known.estimate(this.usual) : 0;
	}

	/**
	 * The learnt time between tokens.
	 * @param endpoint the endpoint
	 * @return seconds, or 0 if unknown
	 */
	public double stepSeconds(EndpointId endpoint) {
		Speeds known = this.speeds.get(endpoint);
		return (known != null) ? known.stepSeconds : 0;
	}

	/**
	 * What this entry measured itself.
	 * @return the digest for other entries
	 */
	SpeedDigest digest() {
		List<String> endpoints = new ArrayList<>();
		List<Double> tokensPerSecond = new ArrayList<>();
		List<Integer> samples = new ArrayList<>();
		this.speeds.forEach((endpoint, known) -> {
			if (known.prefill.count() > 0) {
				endpoints.add(endpoint.value());
				tokensPerSecond.add(known.prefill.value());
				samples.add(known.prefill.count());
			}
		});
		return new SpeedDigest(endpoints, tokensPerSecond, samples);
	}

	/**
	 * Takes in what another entry measured, in place of what it told before.
	 * @param from the entry
	 * @param digest its measurements
	 */
	void heard(VmId from, SpeedDigest digest) {
		forget(from);
		for (int i = 0; i < digest.endpoints().size(); i++) {
			double speed = digest.tokensPerSecond().get(i);
			if (speed >= SLOWEST_TOKENS_PER_SECOND && speed <= FASTEST_TOKENS_PER_SECOND) {
				Speeds known = this.speeds.computeIfAbsent(new EndpointId(digest.endpoints().get(i)),
						(id) -> new Speeds());
				known.others.put(from, new Measurement(speed, digest.samples().get(i)));
			}
		}
		changed();
	}

	/**
	 * Forgets what another entry told.
	 * @param from the entry
	 */
	void forget(VmId from) {
		this.speeds.values().forEach((known) -> known.others.remove(from));
		changed();
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
		double sample = seconds(streaming) / (observation.answerTokens() - 1);
		double bounded = Math.max(SHORTEST_STEP_SECONDS, Math.min(LONGEST_STEP_SECONDS, sample));
		if (known.stepSeconds == 0) {
			known.stepSeconds = bounded;
		}
		known.stepSeconds *= Math.exp(STEP_GAIN * Math.log(bounded / known.stepSeconds));
	}

	private void learnPrefill(Speeds known, Observation observation) {
		Duration firstToken = observation.firstToken();
		if (firstToken == null || observation.promptTokens() < SMALLEST_PROMPT_TOKENS) {
			return;
		}
		double taken = seconds(firstToken);
		double computing = taken - Math.min(known.stepSeconds, taken * LARGEST_FIXED_PART);
		double rate = observation.promptTokens() / computing;
		if (known.prefill.count() > 0 && expectedToWait(known, observation)) {
			return;
		}
		known.prefill.add(Math.max(SLOWEST_TOKENS_PER_SECOND, Math.min(FASTEST_TOKENS_PER_SECOND, rate)));
		changed();
	}

	private static boolean expectedToWait(Speeds known, Observation observation) {
		if (observation.predictedFirstToken() == null) {
			return false;
		}
		double own = observation.promptTokens() / known.prefill.value();
		return own < SMALLEST_OWN_PART * seconds(observation.predictedFirstToken());
	}

	private void changed() {
		double[] values = this.speeds.values()
			.stream()
			.mapToDouble((known) -> known.measured())
			.filter((value) -> value > 0)
			.sorted()
			.toArray();
		this.usual = (values.length > 0) ? values[values.length / 2] : 0;
	}

	private static double seconds(Duration duration) {
		return Math.max(1, duration.toNanos()) / 1e9;
	}

	/**
	 * What another entry measured.
	 *
	 * @param tokensPerSecond the speed
	 * @param samples how many recent measurements it rests on
	 */
	private record Measurement(double tokensPerSecond, int samples) {
	}

	/**
	 * What is known of one endpoint.
	 */
	private static final class Speeds {

		private final RecentPeak prefill = new RecentPeak();

		private final Map<VmId, Measurement> others = new HashMap<>();

		private double stepSeconds;

		double measured() {
			return combined(0, 1);
		}

		double estimate(double usualSpeed) {
			return (measured() > 0) ? combined(PRIOR_SAMPLES, usualSpeed) : 0;
		}

		// The mean of the logarithms, weighted by samples.
		private double combined(double priorSamples, double priorSpeed) {
			double weights = priorSamples + this.prefill.count();
			double sum = priorSamples * Math.log(priorSpeed);
			if (this.prefill.count() > 0) {
				sum += this.prefill.count() * Math.log(this.prefill.value());
			}
			for (Measurement other : this.others.values()) {
				weights += other.samples();
				sum += other.samples() * Math.log(other.tokensPerSecond());
			}
			return (weights > 0) ? Math.exp(sum / weights) : 0;
		}

	}

}
