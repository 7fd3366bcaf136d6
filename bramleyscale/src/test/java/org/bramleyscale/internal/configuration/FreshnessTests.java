package org.bramleyscale.internal.configuration;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of the decision whether the held version may still be in force.
 */
class FreshnessTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final Freshness freshness = new Freshness(Duration.ofSeconds(5));

	@BeforeEach
	void holdVersionThree() {
		this.freshness.held(3);
	}

	@Test
	void aConfirmationLastsForItsTimeFromWhenThePlatformWasAsked() {
		this.freshness.platformConfirmed(3, 10 * SECOND);
		Truth.assertThat(this.freshness.fresh(15 * SECOND, false)).isTrue();
		Truth.assertThat(this.freshness.fresh(15 * SECOND + 1, false)).isFalse();
		this.freshness.platformConfirmed(3, 9 * SECOND);
		Truth.assertThat(this.freshness.confirmedAge(15 * SECOND).getAsLong()).isEqualTo(5 * SECOND);
	}

	@Test
	void aConfirmationOfALaterVersionCountsOnceThatIsHeld() {
		this.freshness.platformConfirmed(4, 10 * SECOND);
		Truth.assertThat(this.freshness.fresh(11 * SECOND, false)).isFalse();
		this.freshness.held(4);
		Truth.assertThat(this.freshness.fresh(11 * SECOND, false)).isTrue();
	}

	@Test
	void peersCountOnlyWithAMajorityThatWasHeardForAWhile() {
		this.freshness.peerHeard(3, 10 * SECOND);
		Truth.assertThat(this.freshness.fresh(11 * SECOND, false)).isFalse();
		this.freshness.majority(true, 10 * SECOND);
		Truth.assertThat(this.freshness.fresh(11 * SECOND, false)).isFalse();
		Truth.assertThat(this.freshness.fresh(12 * SECOND, false)).isTrue();
		Truth.assertThat(this.freshness.fresh(16 * SECOND, false)).isFalse();
		this.freshness.majority(false, 12 * SECOND);
		Truth.assertThat(this.freshness.fresh(12 * SECOND, false)).isFalse();
	}

	@Test
	void peersDoNotCountWhileOneOfThemIsAhead() {
		// Symptom: during an outage of the platform one daemon serves by outdated rules.
		// Sequence: it hears that there is a later version but can't get its content, and
		// other outdated ones agree with it. Cause: counting only those who agree.
		this.freshness.majority(true, 0);
		this.freshness.peerHeard(4, 10 * SECOND);
		this.freshness.peerHeard(3, 11 * SECOND);
		Truth.assertThat(this.freshness.fresh(12 * SECOND, false)).isFalse();
		this.freshness.held(4);
		this.freshness.peerHeard(3, 12 * SECOND);
		Truth.assertThat(this.freshness.fresh(12 * SECOND, false)).isTrue();
	}

	@Test
	void theOnlyDaemonNeedsNobodyToAgree() {
		this.freshness.majority(true, 0);
		Truth.assertThat(this.freshness.fresh(100 * SECOND, true)).isTrue();
	}

	@Test
	void aDaemonThatHoldsNothingIsNeverFresh() {
		Freshness empty = new Freshness(Duration.ofSeconds(5));
		empty.platformConfirmed(0, 0);
		empty.majority(true, 0);
		Truth.assertThat(empty.fresh(3 * SECOND, true)).isFalse();
	}

}
