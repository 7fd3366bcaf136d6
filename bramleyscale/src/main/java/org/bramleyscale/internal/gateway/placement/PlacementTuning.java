package org.bramleyscale.internal.gateway.placement;

/**
 * The thresholds of {@link EnginePlacement}, as parts of what the operator's document
 * says and not as times of their own.
 *
 * <p>
 * Daemons use {@link #DEFAULT}. Experiments change one value or switch one mechanism off;
 * each value's figures are the mean worth over three mixes of requests on modelled
 * engines (forecasts, hire-desk, departure-boards; 30 seeds each, paired), where 0.01 is
 * about the width of the 95 % interval. Immutable and safe for use by multiple threads.
 */
public final class PlacementTuning {

	/** What daemons use. */
	public static final PlacementTuning DEFAULT = builder().build();

	private final double pauseShare;

	private final double wholeShare;

	private final double partShare;

	private final double shortFull;

	private final double shortRoomy;

	private final double freeShare;

	private final double laterThanBest;

	private final double lateShare;

	private final int choices;

	private final boolean lanes;

	private final boolean budgets;

	private PlacementTuning(Builder builder) {
		this.pauseShare = builder.pauseShare;
		this.wholeShare = builder.wholeShare;
		this.partShare = builder.partShare;
		this.shortFull = builder.shortFull;
		this.shortRoomy = builder.shortRoomy;
		this.freeShare = builder.freeShare;
		this.laterThanBest = builder.laterThanBest;
		this.lateShare = builder.lateShare;
		this.choices = builder.choices;
		this.lanes = builder.lanes;
		this.budgets = builder.budgets;
	}

	/**
	 * Starts from what daemons use.
	 * @return a builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * The part of a stream's longest pause that a pass may take; the rest is for what
	 * other daemons send unheard, and for the way to the caller.
	 * @return the part; 0.9 and 1 differ by less than 0.003
	 */
	double pauseShare() {
		return this.pauseShare;
	}

	/**
	 * The longest reading that one engine does for a prompt by itself among short
	 * answers, as a part of the time that the strictest pause leaves for reading.
	 * @return the part; 0.45 and 0.6 differ by less than 0.005, 0.4 loses up to 0.007,
	 * 0.75 up to 0.02
	 */
	double wholeShare() {
		return this.wholeShare;
	}

	/**
	 * What each engine reads at a time of a prompt that several read among short answers,
	 * as a part of the same time: two or three parts may meet in a pass.
	 * @return the part; 0.2 and 0.35 differ from 0.3 by less than 0.005
	 */
	double partShare() {
		return this.partShare;
	}

	/**
	 * The part of the short lane's slots that is taken before the lane grows.
	 * @return the part; 0.6 loses up to 0.006, 0.5 up to 0.03
	 */
	double shortFull() {
		return this.shortFull;
	}

	/**
	 * The part of the short lane's slots that is taken before the lane grows while the
	 * long lane keeps as many engines as can read one prompt. With 54 to 172 engines it
	 * gains 0.002 to 0.008 of the worth, 0.015 where 170 short prompts come within 0.3 s
	 * (16 seeds, paired, half of the 95 % interval 0.005 to 0.007); with 14 to 21 engines
	 * there are none to spare, and the same share would lose 0.007 to 0.018.
	 * @return the part; 0.4 is 0.006 worse with 172 engines
	 */
	double shortRoomy() {
		return this.shortRoomy;
	}

	/**
	 * What an engine on which nobody writes may have before it, as a part of the
	 * service's longest time to the first event. Engines read what they have in no order
	 * of ours: twenty long prompts sent at once all end after the time of twenty.
	 * @return the part; 0.25 to 0.5 differ by less than 0.005, 0.12 loses 0.007 to 0.04,
	 * no bound 0.006 to 0.017
	 */
	double freeShare() {
		return this.freeShare;
	}

	/**
	 * How much later than if the whole lane read it a long prompt may be read once its
	 * target is missed or can't be met: sent to the one engine that has room at the
	 * moment, a very long one would be read there until its caller has left.
	 * @return the factor; 2.5 loses 0.001 to 0.008, without it 0.002 to 0.015 are lost,
	 * 1.1 gains up to 0.004 and refuses two to five times as many
	 */
	double laterThanBest() {
		return this.laterThanBest;
	}

	/**
	 * What counts as read soon for a prompt that has missed its target, as a part of that
	 * target, whatever the whole lane could do. One of 139,000 tokens that had lost its
	 * engine waited 3.7 s for a lane with nothing else to read.
	 * @return the part; 0 to 0.7 differ by less than 0.005
	 */
	double lateShare() {
		return this.lateShare;
	}

	/**
	 * Engines among which one is chosen for a short prompt. All daemons know the same of
	 * engines, some hundred milliseconds late in a large fleet; if each took the best of
	 * all, they would all take the same one until they hear of it. With 69 engines and 76
	 * daemons that hear of each other after 250 ms, 0.87 of short prompts were in time
	 * with 3, 0.89 with 2, 0.80 with 5, 0.15 with all.
	 * @return the number
	 */
	int choices() {
		return this.choices;
	}

	/**
	 * Whether long prompts are kept on engines of their own.
	 * @return false only in experiments
	 */
	boolean lanes() {
		return this.lanes;
	}

	/**
	 * Whether long prompts keep to the pauses of the streams that they meet.
	 * @return false only in experiments
	 */
	boolean budgets() {
		return this.budgets;
	}

	/**
	 * Collects values; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private double pauseShare = 0.9;

		private double wholeShare = 0.55;

		private double partShare = 0.3;

		private double shortFull = 0.7;

		private double shortRoomy = 0.5;

		private double freeShare = 0.35;

		private double laterThanBest = 1.5;

		private double lateShare = 0.4;

		private int choices = 3;

		private boolean lanes = true;

		private boolean budgets = true;

		private Builder() {
		}

		/**
		 * Sets {@link PlacementTuning#pauseShare()}.
		 * @param value a part of a pause, 0 to 1
		 * @return this builder
		 */
		public Builder pauseShare(double value) {
			this.pauseShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#wholeShare()}.
		 * @param value a part of the time for reading
		 * @return this builder
		 */
		public Builder wholeShare(double value) {
			this.wholeShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#partShare()}.
		 * @param value a part of the time for reading
		 * @return this builder
		 */
		public Builder partShare(double value) {
			this.partShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#shortFull()}.
		 * @param value a part of the slots, 0 to 1
		 * @return this builder
		 */
		public Builder shortFull(double value) {
			this.shortFull = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#shortRoomy()}.
		 * @param value a part of the slots, 0 to 1; {@link PlacementTuning#shortFull()}
		 * to treat all fleets alike
		 * @return this builder
		 */
		public Builder shortRoomy(double value) {
			this.shortRoomy = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#freeShare()}.
		 * @param value a part of the slowest target
		 * @return this builder
		 */
		public Builder freeShare(double value) {
			this.freeShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#laterThanBest()}.
		 * @param value a factor, 1 or more
		 * @return this builder
		 */
		public Builder laterThanBest(double value) {
			this.laterThanBest = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#lateShare()}.
		 * @param value a part of the prompt's target
		 * @return this builder
		 */
		public Builder lateShare(double value) {
			this.lateShare = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#choices()}.
		 * @param value engines, 1 or more
		 * @return this builder
		 */
		public Builder choices(int value) {
			this.choices = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#lanes()}.
		 * @param value false to read long prompts anywhere
		 * @return this builder
		 */
		public Builder lanes(boolean value) {
			this.lanes = value;
			return this;
		}

		/**
		 * Sets {@link PlacementTuning#budgets()}.
		 * @param value false to let all of the lane read at once
		 * @return this builder
		 */
		public Builder budgets(boolean value) {
			this.budgets = value;
			return this;
		}

		/**
		 * Makes the thresholds.
		 * @return the thresholds
		 */
		public PlacementTuning build() {
			return new PlacementTuning(this);
		}

	}

}
