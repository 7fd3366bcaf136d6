package org.bramleyscale.internal.admission;

import com.google.common.truth.Truth;
import org.bramleyscale.ModelName;
import org.junit.jupiter.api.Test;

class RatioTokenEstimatorTests {

	private static final ModelName MODEL = new ModelName("notice-7b");

	private static final String ENGLISH = "The jaw crusher is available from Monday on. ".repeat(20);

	private static final String VIETNAMESE = "Xe buýt số mười chín sẽ đến trạm Bến Thành lúc tám giờ. ".repeat(20);

	private final RatioTokenEstimator estimator = new RatioTokenEstimator();

	/**
	 * Grants for Vietnamese prompts are too small, and engines refuse the prompts, if a
	 * model has one ratio of bytes to tokens that was learnt from English text:
	 * Vietnamese text needs more tokens.
	 */
	@Test
	void learnsSeparateRatiosForEnglishAndVietnamese() {
		int english = ENGLISH.length() / 4;
		int vietnamese = VIETNAMESE.length() / 2;
		for (int i = 0; i < 30; i++) {
			this.estimator.learn(MODEL, ENGLISH, english);
			this.estimator.learn(MODEL, VIETNAMESE, vietnamese);
		}
		Truth.assertThat((double) this.estimator.estimate(MODEL, ENGLISH)).isWithin(english * 0.05).of(english);
		Truth.assertThat((double) this.estimator.estimate(MODEL, VIETNAMESE))
			.isWithin(vietnamese * 0.05)
			.of(vietnamese);
	}

	@Test
	void usesTheLowestKnownRatioForAnUnknownScript() {
		this.estimator.learn(MODEL, ENGLISH, ENGLISH.length() / 2);
		Truth.assertThat(this.estimator.estimate(MODEL, "越南语".repeat(100))).isAtLeast(450);
	}

	@Test
	void learnsPerModelAndToleratesInvalidSamples() {
		this.estimator.learn(MODEL, ENGLISH, 0);
		this.estimator.learn(MODEL, "", 10);
		this.estimator.learn(MODEL, ENGLISH, 1);
		Truth.assertThat(this.estimator.estimate(new ModelName("other"), "a")).isEqualTo(1);
		Truth.assertThat(this.estimator.estimate(MODEL, ENGLISH)).isAtLeast(1);
		Truth.assertThat(this.estimator.estimate(MODEL, "")).isEqualTo(0);
	}

}
