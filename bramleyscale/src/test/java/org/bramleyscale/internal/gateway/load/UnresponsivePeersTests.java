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
 * Tests of {@link UnresponsivePeers}.
 */
class UnresponsivePeersTests {

	private static final VmId PEER = new VmId("b");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final UnresponsivePeers unresponsivePeers = new UnresponsivePeers(this.scheduler);

	@ParameterizedTest
	@CsvSource({ "0, false", "900, false", "930, true", "5000, true" })
	void aDaemonIsUnresponsiveAfterThreeMissedUpdates(long millis, boolean unresponsive) {
		this.unresponsivePeers.received(PEER);
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(PEER)).isEqualTo(unresponsive);
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(new VmId("never-heard"))).isFalse();
	}

	@Test
	void aDaemonThatWasFrozenDoesNotConsiderItsPeersUnresponsive() {
		// Guards against all callers being sent to one daemon: that daemon freezes for
		// four seconds and is asked for addresses on waking, before it has processed the
		// updates of its peers.
		this.unresponsivePeers.received(PEER);
		this.unresponsivePeers.restartTimeoutsAfterPause();
		this.scheduler.advance(Duration.ofSeconds(4));
		this.unresponsivePeers.restartTimeoutsAfterPause();
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(PEER)).isFalse();
		for (int i = 0; i < 4; i++) {
			this.scheduler.advance(LoadExchange.UPDATE_INTERVAL);
			this.unresponsivePeers.restartTimeoutsAfterPause();
		}
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(PEER)).isTrue();
	}

	@Test
	void aRelaysReportExpiresAfterTheTimeout() {
		this.unresponsivePeers.relayReported(Set.of(PEER));
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(PEER)).isTrue();
		this.scheduler.advance(UnresponsivePeers.TIMEOUT);
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(PEER)).isFalse();
	}

	@Test
	void aDaemonFromWhichNoUpdatesAreExpectedIsNotUnresponsive() {
		this.unresponsivePeers.received(PEER);
		this.unresponsivePeers.expectOnly(List.of());
		this.scheduler.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.unresponsivePeers.isUnresponsive(PEER)).isFalse();
	}

}
