package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link PeerSilence}.
 */
class PeerSilenceTests {

	private static final VmId PEER = new VmId("b");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final PeerSilence silence = new PeerSilence(this.scheduler);

	@ParameterizedTest
	@CsvSource({ "0, false", "900, false", "930, true", "5000, true" })
	void aDaemonThatFallsSilentIsNoticedAfterThreePauses(long millis, boolean silent) {
		this.silence.heard(PEER);
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(this.silence.silent(PEER)).isEqualTo(silent);
		Truth.assertThat(this.silence.silent(new VmId("never-heard"))).isFalse();
	}

	@Test
	void aDaemonThatWasFrozenDoesNotTakeAllOthersForSilent() {
		// Symptom: callers are sent to one daemon only. Sequence: that daemon freezes for
		// four seconds and is asked for addresses as it wakes, before it has read what
		// the others told. Cause: all of them looked silent.
		this.silence.heard(PEER);
		this.silence.forgiveOwnPause();
		this.scheduler.advance(Duration.ofSeconds(4));
		this.silence.forgiveOwnPause();
		Truth.assertThat(this.silence.silent(PEER)).isFalse();
		for (int i = 0; i < 4; i++) {
			this.scheduler.advance(LoadExchange.PAUSE);
			this.silence.forgiveOwnPause();
		}
		Truth.assertThat(this.silence.silent(PEER)).isTrue();
	}

	@Test
	void aRelaysWordCountsAsLongAsAnOwnObservation() {
		this.silence.relaySays(Set.of(PEER));
		Truth.assertThat(this.silence.silent(PEER)).isTrue();
		this.scheduler.advance(PeerSilence.UNHEARD);
		Truth.assertThat(this.silence.silent(PEER)).isFalse();
	}

	@Test
	void whoTellsOthersNowIsNotSilent() {
		this.silence.heard(PEER);
		this.silence.expectOnly(List.of());
		this.scheduler.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.silence.silent(PEER)).isFalse();
	}

}
