package org.bramleyscale.bench.routing;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * The figures of one run, without its first part, in which speeds are still learnt.
 */
final class Summary {

	private static final double LEARNING_PART = 0.2;

	private static final int DIGITS = 3;

	private final Map<Band, BandFigures> bands = new EnumMap<>(Band.class);

	private final double[] accountTokens = new double[Workload.ACCOUNTS];

	private final double goodput;

	private final long ejections;

	Summary(Outcomes outcomes, long ejections) {
		this.ejections = ejections;
		for (Band band : Band.values()) {
			this.bands.put(band, new BandFigures());
		}
		long span = outcomes.arrivals().get(outcomes.arrivals().size() - 1).atNanos();
		double from = span * LEARNING_PART;
		double tokens = 0;
		for (Arrival arrival : outcomes.arrivals()) {
			if (arrival.atNanos() >= from) {
				this.bands.get(Band.of(arrival)).add(outcomes, arrival);
			}
			double finished = arrival.atNanos() + outcomes.finishSeconds(arrival) * 1e9;
			boolean counted = outcomes.state(arrival) == Outcomes.State.COMPLETED && finished >= from
					&& finished <= span;
			if (counted && !arrival.plain()) {
				tokens += arrival.promptTokens() + arrival.answerTokens();
				this.accountTokens[arrival.account()] += arrival.promptTokens() + arrival.answerTokens();
			}
		}
		this.goodput = tokens / ((span - from) / 1e9);
	}

	BandFigures band(Band band) {
		return this.bands.get(band);
	}

	/**
	 * Tokens of requests that finished within their time, a second.
	 * @return tokens a second
	 */
	double goodput() {
		return this.goodput;
	}

	double[] accountTokens() {
		return this.accountTokens;
	}

	long ejections() {
		return this.ejections;
	}

	/**
	 * The figures of one band.
	 */
	static final class BandFigures {

		private final Histogram firstToken = new Histogram(DIGITS);

		private final Histogram finish = new Histogram(DIGITS);

		private final Histogram timeUsed = new Histogram(DIGITS);

		private int offered;

		private int refused;

		private int failed;

		void add(Outcomes outcomes, Arrival arrival) {
			this.offered++;
			switch (outcomes.state(arrival)) {
				case COMPLETED -> {
					this.firstToken.recordValue((long) (outcomes.firstTokenSeconds(arrival) * 1e6));
					this.finish.recordValue((long) (outcomes.finishSeconds(arrival) * 1e6));
					this.timeUsed
						.recordValue((long) (outcomes.finishSeconds(arrival) * 1e13 / arrival.timeLeftNanos()));
				}
				case REFUSED -> this.refused++;
				default -> this.failed++;
			}
		}

		int offered() {
			return this.offered;
		}

		int refused() {
			return this.refused;
		}

		int failed() {
			return this.failed;
		}

		double firstToken(double percentile) {
			return this.firstToken.getValueAtPercentile(percentile) / 1e6;
		}

		double finish(double percentile) {
			return this.finish.getValueAtPercentile(percentile) / 1e6;
		}

		/**
		 * The part of their time that completed requests used.
		 * @param percentile the percentile
		 * @return the part, 1 at the deadline
		 */
		double timeUsed(double percentile) {
			return this.timeUsed.getValueAtPercentile(percentile) / 1e4;
		}

	}

}
