package org.bramleyscale.internal.routing;

/**
 * The lateness, failures and ejection state of one endpoint.
 *
 * <p>
 * States: healthy, ejected for a time that doubles with each ejection until the endpoint
 * is healthy again, and re-admitting until a few probes have succeeded. Not safe for use
 * by multiple threads.
 */
final class HealthRecord {

	private static final double LATENESS_GAIN = 0.3;

	private static final double PENALTY_GAIN = 0.3;

	/** Logarithm of the factor to which the lateness of one sample is clipped. */
	private static final double MAX_LATENESS = Math.log(30);

	private static final int EJECTION_FAILURES = 3;

	private static final int REQUIRED_PROBES = 3;

	private static final long MIN_EJECTION_NANOS = 5_000_000_000L;

	private static final long MAX_EJECTION_NANOS = 60_000_000_000L;

	/** Added to both times, since smaller differences are noise at any speed. */
	private static final double NOISE_SECONDS = 0.05;

	private State state = State.HEALTHY;

	private double lateness;

	private double penalty;

	private int consecutiveFailures;

	private int successfulProbes;

	private boolean probeFailed;

	private long ejectedUntil;

	private long nextEjection = MIN_EJECTION_NANOS;

	State state() {
		return this.state;
	}

	/**
	 * Returns the smoothed logarithm of measured over predicted time to first token.
	 * @return the lateness, 0 for an endpoint that answers as predicted
	 */
	double lateness() {
		return this.lateness;
	}

	double penaltySeconds() {
		return this.penalty;
	}

	void recordFailure() {
		this.consecutiveFailures++;
		this.probeFailed = true;
		addSample(MAX_LATENESS, 0);
	}

	void recordFirstToken(double measured, double predicted) {
		this.consecutiveFailures = 0;
		double sample = Math.log((measured + NOISE_SECONDS) / (predicted + NOISE_SECONDS));
		addSample(sample, measured - predicted);
		if (sample < Math.log(2)) {
			this.successfulProbes++;
		}
		else {
			this.probeFailed = true;
		}
	}

	void recordOverdue(double waited, double predicted) {
		double sample = Math.log((waited + NOISE_SECONDS) / (predicted + NOISE_SECONDS));
		if (sample > this.lateness) {
			this.lateness = Math.min(sample, MAX_LATENESS);
			this.penalty = Math.max(this.penalty, waited - predicted);
		}
	}

	void update(long now, double ejectionLateness) {
		switch (this.state) {
			case HEALTHY -> {
				if (this.lateness > ejectionLateness || this.consecutiveFailures >= EJECTION_FAILURES) {
					eject(now);
				}
			}
			case EJECTED -> {
				if (now - this.ejectedUntil >= 0) {
					startReadmission();
				}
			}
			case READMITTING -> {
				if (this.probeFailed) {
					eject(now);
				}
				else if (this.successfulProbes >= REQUIRED_PROBES) {
					this.state = State.HEALTHY;
					this.nextEjection = MIN_EJECTION_NANOS;
				}
			}
		}
	}

	private void eject(long now) {
		this.state = State.EJECTED;
		this.ejectedUntil = now + this.nextEjection;
		this.nextEjection = Math.min(MAX_EJECTION_NANOS, this.nextEjection * 2);
	}

	private void startReadmission() {
		this.state = State.READMITTING;
		this.successfulProbes = 0;
		this.probeFailed = false;
		this.consecutiveFailures = 0;
		this.lateness = 0;
		this.penalty = 0;
	}

	private void addSample(double sample, double seconds) {
		double clipped = Math.max(-MAX_LATENESS, Math.min(MAX_LATENESS, sample));
		this.lateness += LATENESS_GAIN * (clipped - this.lateness);
		this.penalty = Math.max(0, this.penalty + PENALTY_GAIN * (seconds - this.penalty));
	}

	/**
	 * The ejection state of an endpoint.
	 */
	enum State {

		/** Gets requests without restriction. */
		HEALTHY,

		/** Gets no new requests. */
		EJECTED,

		/** Gets single requests as probes. */
		READMITTING

	}

}
