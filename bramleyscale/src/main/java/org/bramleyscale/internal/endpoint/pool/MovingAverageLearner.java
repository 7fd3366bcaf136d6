package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.Observation;

/**
 * A learner that keeps moving averages of speeds and ejects an endpoint after consecutive
 * failures.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class MovingAverageLearner implements EndpointLearner {

	private static final double NEW_WEIGHT = 0.2;

	private static final int FAILURES_TO_EJECT = 3;

	private static final long EJECTION_DURATION = Duration.ofSeconds(5).toNanos();

	private static final long READMISSION_DURATION = Duration.ofSeconds(10).toNanos();

	private static final double NANOS_PER_SECOND = 1e9;

	private double prefillTokensPerSecond;

	private double stepSeconds;

	private int failures;

	private long ejectedAt;

	private boolean everEjected;

	@Override
	public void observed(Observation observation, long now) {
		if (observation.failed()) {
			failed(now);
			return;
		}
		this.failures = 0;
		Duration firstToken = observation.firstToken();
		if (firstToken != null && !firstToken.isZero() && observation.promptTokens() > 0) {
			double speed = observation.promptTokens() * NANOS_PER_SECOND / firstToken.toNanos();
			this.prefillTokensPerSecond = average(this.prefillTokensPerSecond, speed);
		}
		if (observation.answerTokens() > 1 && observation.streaming() != null) {
			double step = observation.streaming().toNanos() / NANOS_PER_SECOND / (observation.answerTokens() - 1);
			this.stepSeconds = average(this.stepSeconds, step);
		}
	}

	@Override
	public double prefillTokensPerSecond() {
		return this.prefillTokensPerSecond;
	}

	@Override
	public double stepSeconds() {
		return this.stepSeconds;
	}

	@Override
	public double penaltySeconds(long now) {
		return 0;
	}

	@Override
	public boolean ejected(long now) {
		return this.everEjected && now - this.ejectedAt < EJECTION_DURATION;
	}

	@Override
	public boolean readmitting(long now) {
		return this.everEjected && !ejected(now) && now - this.ejectedAt < EJECTION_DURATION + READMISSION_DURATION;
	}

	private void failed(long now) {
		this.failures++;
		if (this.failures >= FAILURES_TO_EJECT) {
			this.everEjected = true;
			this.ejectedAt = now;
		}
	}

	private static double average(double old, double latest) {
		return (old == 0) ? latest : old + NEW_WEIGHT * (latest - old);
	}

}
