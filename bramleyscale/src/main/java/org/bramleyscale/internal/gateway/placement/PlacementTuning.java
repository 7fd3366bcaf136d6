package org.bramleyscale.internal.gateway.placement;

/**
 * The thresholds of {@link EnginePlacement}, relative to the targets and pauses in the
 * operator's configuration rather than as absolute times.
 *
 * <p>
 * Daemons use {@link #DEFAULT}. Experiments change one value or disable one mechanism.
 * The differences given for each value are in the mean worth over three mixes of requests
 * on modelled engines (forecasts, hire-desk, departure-boards; 30 seeds each, paired),
 * where 0.01 is about the width of the 95 % interval. Worth is the value of the answers
 * that callers received, late ones counting less or nothing, as a share of the value if
 * all answers were in time. Immutable and safe for use by multiple threads.
 */
public final class PlacementTuning {

	/** The thresholds that daemons use. */
	public static final PlacementTuning DEFAULT = builder().build();

	private final double pauseShare;

	private final double singleEngineShare;

	private final double partShare;

	private final double shortLaneFill;

	private final double shortLaneFillWithSpare;

	private final double idleBacklogShare;

	private final double latenessFactor;

	private final double overdueShare;

	private final int sampleSize;

	private final boolean separateLanes;

	private final boolean pauseBudgets;

	private PlacementTuning(Builder builder) {
		this.pauseShare = builder.pauseShare;
		this.singleEngineShare = builder.singleEngineShare;
		this.partShare = builder.partShare;
		this.shortLaneFill = builder.shortLaneFill;
		this.shortLaneFillWithSpare = builder.shortLaneFillWithSpare;
		this.idleBacklogShare = builder.idleBacklogShare;
		this.latenessFactor = builder.latenessFactor;
		this.overdueShare = builder.overdueShare;
		this.sampleSize = builder.sampleSize;
		this.separateLanes = builder.separateLanes;
		this.pauseBudgets = builder.pauseBudgets;
	}

	/**
	 * Returns a builder with the default thresholds.
	 * @return a builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * The share of a stream's longest permitted pause that a pass may take. The rest
	 * allows for requests of other daemons that this daemon does not know of yet, and for
	 * the network delay to the caller.
	 * @return the share; 0.9 and 1 differ by less than 0.003
	 */
	double pauseShare() {
		return this.pauseShare;
	}

	/**
	 * The longest prefill that a single engine does for one prompt alongside short
	 * answers, as a share of the time that the strictest permitted pause leaves for
	 * prefill.
	 * @return the share; 0.45 and 0.6 differ by less than 0.005, 0.4 loses up to 0.007,
	 * 0.75 up to 0.02
	 */
	double singleEngineShare() {
		return this.singleEngineShare;
	}

	/**
	 * The prefill of each part of a prompt that is split over several engines alongside
	 * short answers, as a share of the time that the strictest permitted pause leaves for
	 * prefill. Two or three parts may fall into the same pass.
	 * @return the share; 0.2 and 0.35 differ from 0.3 by less than 0.005
	 */
	double partShare() {
		return this.partShare;
	}

	/**
	 * The share of the short lane's slots that is occupied before the lane grows.
	 * @return the share; 0.6 loses up to 0.006, 0.5 up to 0.03
	 */
	double shortLaneFill() {
		return this.shortLaneFill;
	}

	/**
	 * The share of the short lane's slots that is occupied before the lane grows while
	 * the long lane keeps as many engines as can share one prompt. With 54 to 172 engines
	 * this gains 0.002 to 0.008 of the worth, and 0.015 where 170 short prompts arrive
	 * within 0.3 s (16 seeds, paired, half of the 95 % interval 0.005 to 0.007). With 14
	 * to 21 engines there are no engines to spare, and the same share would lose 0.007 to
	 * 0.018.
	 * @return the share; 0.4 is 0.006 worse with 172 engines
	 */
	double shortLaneFillWithSpare() {
		return this.shortLaneFillWithSpare;
	}

	/**
	 * The prefill backlog up to which an engine without a stream that limits its pauses
	 * takes more work, as a share of the service's slowest target for the first event.
	 * Engines process their prompts concurrently in an order that daemons don't control,
	 * so twenty long prompts sent at once all finish only after the time of twenty.
	 * @return the share; 0.25 to 0.5 differ by less than 0.005, 0.12 loses 0.007 to 0.04,
	 * no bound loses 0.006 to 0.017
	 */
	double idleBacklogShare() {
		return this.idleBacklogShare;
	}

	/**
	 * How much later than on the whole lane the prefill of a long prompt may finish once
	 * its target is missed or can't be met. Without this bound a very long prompt would
	 * go to the single engine that is free at the moment, and its prefill there would
	 * outlast the caller's deadline.
	 * @return the factor; 2.5 loses 0.001 to 0.008, without it 0.002 to 0.015 are lost,
	 * 1.1 gains up to 0.004 and refuses two to five times as many
	 */
	double latenessFactor() {
		return this.latenessFactor;
	}

	/**
	 * The prefill time that is always acceptable for a prompt that has missed its target,
	 * as a share of that target, whatever the whole lane could achieve. Without it, a
	 * prompt of 139,000 tokens whose engine had failed waited 3.7 s for a lane with no
	 * other work.
	 * @return the share; 0 to 0.7 differ by less than 0.005
	 */
	double overdueShare() {
		return this.overdueShare;
	}

	/**
	 * The number of engines sampled for a short prompt. All daemons have the same view of
	 * the engines, which lags by some hundred milliseconds in a large fleet; if each
	 * chose the best of all engines, they would all choose the same one until the view is
	 * updated. With 69 engines and 76 daemons whose updates take 250 ms, 0.87 of short
	 * prompts were in time with 3, 0.89 with 2, 0.80 with 5, 0.15 with all.
	 * @return the number
	 */
	int sampleSize() {
		return this.sampleSize;
	}

	/**
	 * Whether long prompts have engines of their own.
	 * @return false only in experiments
	 */
	boolean separateLanes() {
		return this.separateLanes;
	}

	/**
	 * Whether the placement of long prompts respects the permitted pauses of active
	 * streams.
	 * @return false only in experiments
	 */
	boolean pauseBudgets() {
		return this.pauseBudgets;
	}

	/**
	 * Builder of thresholds; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private double pauseShare = 0.9;

		private double singleEngineShare = 0.55;

		private double partShare = 0.3;

		private double shortLaneFill = 0.7;

		private double shortLaneFillWithSpare = 0.5;

		private double idleBacklogShare = 0.35;

		private double latenessFactor = 1.5;

		private double overdueShare = 0.4;

		private int sampleSize = 3;

		private boolean separateLanes = true;

		private boolean pauseBudgets = true;

		private Builder() {
		}

		/**
		 * Sets {@link PlacementTuning#pauseShare()}.
		 * @param value a share of a pause, 0 to 1
		 * @return this builder
		 */
		public Builder pauseShare(double value) {
			this.pauseShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#singleEngineShare()}.
		 * @param value a share of the time for prefill
		 * @return this builder
		 */
		public Builder singleEngineShare(double value) {
			this.singleEngineShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#partShare()}.
		 * @param value a share of the time for prefill
		 * @return this builder
		 */
		public Builder partShare(double value) {
			this.partShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#shortLaneFill()}.
		 * @param value a share of the slots, 0 to 1
		 * @return this builder
		 */
		public Builder shortLaneFill(double value) {
			this.shortLaneFill = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#shortLaneFillWithSpare()}.
		 * @param value a share of the slots, 0 to 1;
		 * {@link PlacementTuning#shortLaneFill()} treats fleets of all sizes alike
		 * @return this builder
		 */
		public Builder shortLaneFillWithSpare(double value) {
			this.shortLaneFillWithSpare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#idleBacklogShare()}.
		 * @param value a share of the slowest target
		 * @return this builder
		 */
		public Builder idleBacklogShare(double value) {
			this.idleBacklogShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#latenessFactor()}.
		 * @param value a factor, 1 or more
		 * @return this builder
		 */
		public Builder latenessFactor(double value) {
			this.latenessFactor = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#overdueShare()}.
		 * @param value a share of the prompt's target
		 * @return this builder
		 */
		public Builder overdueShare(double value) {
			this.overdueShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#sampleSize()}.
		 * @param value the number of engines, 1 or more
		 * @return this builder
		 */
		public Builder sampleSize(int value) {
			this.sampleSize = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#separateLanes()}.
		 * @param value false to place long prompts on any engine
		 * @return this builder
		 */
		public Builder separateLanes(boolean value) {
			this.separateLanes = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#pauseBudgets()}.
		 * @param value false to use the whole lane at once for each long prompt
		 * @return this builder
		 */
		public Builder pauseBudgets(boolean value) {
			this.pauseBudgets = value;
			return this;
		}

		/**
		 * Builds the thresholds.
		 * @return the thresholds
		 */
		public PlacementTuning build() {
			return new PlacementTuning(this);
		}

	}

}
