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
 * Estimates the prefill speed and the time between tokens of each endpoint.
 *
 * <p>
 * These figures aren't configured, so they are estimated from completed attempts. The
 * time to first token includes the wait behind other prompts, so prompt tokens divided by
 * it is a lower bound of the speed, and the estimate is a high value among the recent
 * samples. With few samples it is weighted with the median speed of all endpoints;
 * otherwise one prompt sent to a busy endpoint would mark the endpoint as slow, and no
 * further prompts would be sent there to correct the estimate. Invariant: an estimate is
 * 0 until the first usable observation and positive and finite afterwards. Confined to
 * the scheduler's thread.
 */
public final class SpeedEstimator {

	private static final double MIN_TOKENS_PER_SECOND = 1;

	private static final double MAX_TOKENS_PER_SECOND = 1e8;

	private static final double MIN_STEP_SECONDS = 1e-6;

	private static final double MAX_STEP_SECONDS = 60;

	private static final double STEP_GAIN = 0.1;

	/** The times of smaller prompts depend more on fixed costs than on speed. */
	private static final int MIN_PROMPT_TOKENS = 64;

	/** Maximum fraction of a time to first token that is attributed to fixed costs. */
	private static final double MAX_FIXED_COST_FRACTION = 0.5;

	/**
	 * Samples in which prefill is a smaller fraction of the predicted time are ignored.
	 */
	private static final double MIN_PREFILL_FRACTION = 0.5;

	/** The weight of the median speed, in samples. */
	private static final double PRIOR_SAMPLES = 3;

	private final Map<EndpointId, EndpointSpeeds> speeds = new HashMap<>();

	private final List<BiConsumer<EndpointId, Observation>> listeners = new ArrayList<>();

	private double medianSpeed;

	/**
	 * Adds a listener that is called with each observation.
	 * @param listener the listener
	 */
	public void onObserved(BiConsumer<EndpointId, Observation> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Records an attempt.
	 * @param endpoint the endpoint
	 * @param observation the measurements of the attempt
	 */
	public void observe(EndpointId endpoint, Observation observation) {
		this.listeners.forEach((listener) -> listener.accept(endpoint, observation));
		if (observation.failed()) {
			return;
		}
		EndpointSpeeds known = this.speeds.computeIfAbsent(endpoint, (id) -> new EndpointSpeeds());
		updateStep(known, observation);
		updatePrefill(known, observation);
	}

	/**
	 * Returns the estimated prefill speed.
	 * @param endpoint the endpoint
	 * @return tokens per second, or 0 if unknown
	 */
	public double prefillTokensPerSecond(EndpointId endpoint) {
		EndpointSpeeds known = this.speeds.get(endpoint);
		return (known != null) ? known.estimate(this.medianSpeed) : 0;
	}

	/**
	 * Returns the estimated time between tokens.
	 * @param endpoint the endpoint
	 * @return seconds, or 0 if unknown
	 */
	public double stepSeconds(EndpointId endpoint) {
		EndpointSpeeds known = this.speeds.get(endpoint);
		return (known != null) ? known.stepSeconds : 0;
	}

	/**
	 * Returns the measurements of this daemon itself.
	 * @return the digest for other daemons
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
	 * Replaces the measurements of another daemon.
	 * @param from the daemon
	 * @param digest its measurements
	 */
	void replaceDigest(VmId from, SpeedDigest digest) {
		removeDigest(from);
		for (int i = 0; i < digest.endpoints().size(); i++) {
			double speed = digest.tokensPerSecond().get(i);
			if (speed >= MIN_TOKENS_PER_SECOND && speed <= MAX_TOKENS_PER_SECOND) {
				EndpointSpeeds known = this.speeds.computeIfAbsent(new EndpointId(digest.endpoints().get(i)),
						(id) -> new EndpointSpeeds());
				known.remote.put(from, new Measurement(speed, digest.samples().get(i)));
			}
		}
		updateMedian();
	}

	/**
	 * Removes the measurements of another daemon.
	 * @param from the daemon
	 */
	void removeDigest(VmId from) {
		this.speeds.values().forEach((known) -> known.remote.remove(from));
		updateMedian();
	}

	/**
	 * Removes the estimates of all other endpoints.
	 * @param endpoints the endpoints that still exist
	 */
	public void retain(Collection<EndpointId> endpoints) {
		this.speeds.keySet().retainAll(endpoints);
	}

	private static void updateStep(EndpointSpeeds known, Observation observation) {
		Duration streaming = observation.streaming();
		if (streaming == null || observation.answerTokens() < 2) {
			return;
		}
		double sample = seconds(streaming) / (observation.answerTokens() - 1);
		double bounded = Math.max(MIN_STEP_SECONDS, Math.min(MAX_STEP_SECONDS, sample));
		if (known.stepSeconds == 0) {
			known.stepSeconds = bounded;
		}
		known.stepSeconds *= Math.exp(STEP_GAIN * Math.log(bounded / known.stepSeconds));
	}

	private void updatePrefill(EndpointSpeeds known, Observation observation) {
		Duration firstToken = observation.firstToken();
		if (firstToken == null || observation.promptTokens() < MIN_PROMPT_TOKENS) {
			return;
		}
		double total = seconds(firstToken);
		double prefill = total - Math.min(known.stepSeconds, total * MAX_FIXED_COST_FRACTION);
		double rate = observation.promptTokens() / prefill;
		if (known.prefill.count() > 0 && mostlyQueueing(known, observation)) {
			return;
		}
		known.prefill.add(Math.max(MIN_TOKENS_PER_SECOND, Math.min(MAX_TOKENS_PER_SECOND, rate)));
		updateMedian();
	}

	private static boolean mostlyQueueing(EndpointSpeeds known, Observation observation) {
		if (observation.predictedFirstToken() == null) {
			return false;
		}
		double prefill = observation.promptTokens() / known.prefill.value();
		return prefill < MIN_PREFILL_FRACTION * seconds(observation.predictedFirstToken());
	}

	private void updateMedian() {
		double[] values = this.speeds.values()
			.stream()
			.mapToDouble((known) -> known.measured())
			.filter((value) -> value > 0)
			.sorted()
			.toArray();
		this.medianSpeed = (values.length > 0) ? values[values.length / 2] : 0;
	}

	private static double seconds(Duration duration) {
		return Math.max(1, duration.toNanos()) / 1e9;
	}

	/**
	 * The speed of an endpoint as measured by another daemon.
	 *
	 * @param tokensPerSecond the speed
	 * @param samples the number of recent samples it is based on
	 */
	private record Measurement(double tokensPerSecond, int samples) {
	}

	/**
	 * The measurements of one endpoint.
	 */
	private static final class EndpointSpeeds {

		private final RecentPeak prefill = new RecentPeak();

		private final Map<VmId, Measurement> remote = new HashMap<>();

		private double stepSeconds;

		double measured() {
			return weightedMean(0, 1);
		}

		double estimate(double priorSpeed) {
			return (measured() > 0) ? weightedMean(PRIOR_SAMPLES, priorSpeed) : 0;
		}

		// The mean of the logarithms, weighted by samples.
		private double weightedMean(double priorSamples, double priorSpeed) {
			double weights = priorSamples + this.prefill.count();
			double sum = priorSamples * Math.log(priorSpeed);
			if (this.prefill.count() > 0) {
				sum += this.prefill.count() * Math.log(this.prefill.value());
			}
			for (Measurement other : this.remote.values()) {
				weights += other.samples();
				sum += other.samples() * Math.log(other.tokensPerSecond());
			}
			return (weights > 0) ? Math.exp(sum / weights) : 0;
		}

	}

}
