package org.bramleyscale.internal.http;

import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

class EntryGateTests {

	@Test
	void knowsTheAccountsBeforeItLetsTheServerListen() {
		// Symptom: the first callers of a new daemon hear that no account has their keys.
		// Sequence: the server listens while the scheduler's thread is still busy. Cause:
		// calls are checked on HTTP threads against accounts not yet handed to them.
		ManualScheduler scheduler = new ManualScheduler();
		EntryGate gate = new EntryGate(scheduler, new FakeConfiguration(), new EntryMetrics(new MetricRegistry()));
		CompletableFuture<Void> following = gate.follow();
		Truth.assertThat(following.isDone()).isFalse();
		scheduler.runDue();
		Truth.assertThat(following.isDone()).isTrue();
		Truth.assertThat(gate.catalog().account("bearer " + FakeConfiguration.DESK_KEY)).isPresent();
	}

}
