package org.bramleyscale.internal.routing;

/**
 * What is known of one endpoint's punctuality.
 *
 * <p>
 * States: healthy, ejected for a time that doubles at each relapse, re-admitting until a
 * few probes were good. Not safe for use by multiple threads.
 */
final class HealthRecord {

	private static final double GAIN = 0.3;

	private static final double PENALTY_GAIN = 0.3;

	/** Logarithm of the largest factor that one observation can count as. */
	private static final double WORST = Math.log(30);

	private static final int FAILURES_THAT_EJECT = 3;

	private static final int GOOD_PROBES = 3;

	private static final long SHORTEST_EJECTION_NANOS = 5_000_000_000L;

	private static final long LONGEST_EJECTION_NANOS = 60_000_000_000L;

	/** Lateness below this many seconds is noise at any speed. */
	private static final double NOISE_SECONDS = 0.05;

	private State state = State.HEALTHY;

	private double lateness;

	private double penalty;

	private int consecutiveFailures;

	private int goodProbes;

	private boolean badProbe;

	private long ejectedUntil;

	private long nextEjection = SHORTEST_EJECTION_NANOS;

	State state() {
		return this.state;
	}

	/**
	 * The running logarithm of measured over predicted time.
	 * @return 0 for a punctual endpoint
	 */
	double lateness() {
		return this.lateness;
	}

	double penaltySeconds() {
		return this.penalty;
	}

	void failed() {
		this.consecutiveFailures++;
		this.badProbe = true;
		learn(WORST, 0);
	}

	void answered(double taken, double predicted) {
		this.consecutiveFailures = 0;
		double late = Math.log((taken + NOISE_SECONDS) / (predicted + NOISE_SECONDS));
		learn(late, taken - predicted);
		if (late < Math.log(2)) {
			this.goodProbes++;
		}
		else {
			this.badProbe = true;
		}
	}

	void overdue(double waited, double predicted) {
		double late = Math.log((waited + NOISE_SECONDS) / (predicted + NOISE_SECONDS));
		if (late > this.lateness) {
			this.lateness = Math.min(late, WORST);
			this.penalty = Math.max(this.penalty, waited - predicted);
		}
	}

	void update(long now, double ejectingLateness) {
		switch (this.state) {
			case HEALTHY -> {
				if (this.lateness > ejectingLateness || this.consecutiveFailures >= FAILURES_THAT_EJECT) {
					eject(now);
				}
			}
			case EJECTED -> {
				if (now - this.ejectedUntil >= 0) {
					readmit();
				}
			}
			case READMITTING -> {
				if (this.badProbe) {
					eject(now);
				}
				else if (this.goodProbes >= GOOD_PROBES) {
					this.state = State.HEALTHY;
					this.nextEjection = SHORTEST_EJECTION_NANOS;
				}
			}
		}
	}

	private void eject(long now) {
		this.state = State.EJECTED;
		this.ejectedUntil = now + this.nextEjection;
		this.nextEjection = Math.min(LONGEST_EJECTION_NANOS, this.nextEjection * 2);
	}

	private void readmit() {
		this.state = State.READMITTING;
		this.goodProbes = 0;
		this.badProbe = false;
		this.consecutiveFailures = 0;
		this.lateness = 0;
		this.penalty = 0;
	}

	private void learn(double late, double seconds) {
		double clipped = Math.max(-WORST, Math.min(WORST, late));
		this.lateness += GAIN * (clipped - this.lateness);
		this.penalty = Math.max(0, this.penalty + PENALTY_GAIN * (seconds - this.penalty));
	}

	/**
	 * The states of an endpoint.
	 */
	enum State {

		/** Gets work as usual. */
		HEALTHY,

		/** Gets no new work. */
		EJECTED,

		/** Gets a few probes. */
		READMITTING

	}

}
