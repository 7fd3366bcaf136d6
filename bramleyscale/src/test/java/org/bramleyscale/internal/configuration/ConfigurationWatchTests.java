package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of the waiting watch on the head.
 */
class ConfigurationWatchTests {

	private static final VmId VM = new VmId("a-0");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final FakePlatform platform = new FakePlatform(this.scheduler);

	private final List<Long> seen = new ArrayList<>();

	private final ConfigurationWatch watch = new ConfigurationWatch(this.platform.view(VM, () -> true), this.scheduler,
			Duration.ofSeconds(1), () -> true, (head, askedAt) -> this.seen.add(head.version()));

	@BeforeEach
	void start() {
		store(5);
		this.watch.start();
		pass(100);
		Truth.assertThat(this.seen).containsExactly(5L);
	}

	@Test
	void eachAnswerConfirmsTheNewestHead() {
		pass(2100);
		store(6);
		pass(20);
		Truth.assertThat(this.seen).containsExactly(5L, 5L, 5L, 6L).inOrder();
	}

	@Test
	void askedOnceASecondWhileNothingChanges() {
		long before = this.platform.calls();
		pass(60_000);
		Truth.assertThat(this.platform.calls() - before).isAtMost(60);
	}

	@Test
	void aPlatformThatDoesNotWaitIsNotAskedInABusyLoop() {
		this.platform.answerWatchesAtOnce();
		long before = this.platform.calls();
		pass(60_000);
		Truth.assertThat(this.platform.calls() - before).isAtMost(120);
	}

	@Test
	void goesOnAfterAnOutage() {
		this.platform.down(true);
		pass(10_000);
		this.platform.down(false);
		store(6);
		pass(1000);
		Truth.assertThat(this.seen).contains(6L);
	}

	@Test
	void changesLostInAGapAreReadAnew() {
		// Symptom: a relay vouches for an outdated version. Sequence: the watch loses a
		// change and says so. Cause: continuing from the revision that came with the gap.
		this.platform.gapsInWatches(true);
		store(6);
		pass(100);
		Truth.assertThat(this.seen).containsExactly(5L, 6L).inOrder();
	}

	@Test
	void aHeadThatCanNotBeReadConfirmsNothing() {
		// Symptom: a relay vouches for an outdated version. Sequence: a daemon of a later
		// release writes a head that this one can't read. Cause: going on with the last
		// head that could be read.
		this.platform.replace(Head.KEY, new byte[] { (byte) 0xc1 });
		pass(10_000);
		Truth.assertThat(this.seen).containsExactly(5L);
		store(7);
		pass(1000);
		Truth.assertThat(this.seen).contains(7L);
	}

	@Test
	void aPlatformThatWentBackConfirmsNothing() {
		// Symptom: an accepted version is vouched for as the newest one although the
		// platform
		// lost it. Sequence: the platform's data is restored from a copy. Cause: looking
		// at
		// the stored head alone.
		store(4);
		pass(10_000);
		Truth.assertThat(this.seen).containsExactly(5L);
	}

	private void store(long version) {
		Head head = new Head(version, ContentHash.NONE, List.of(), List.of(), null, VM);
		this.platform.replace(Head.KEY, ConfigurationCodec.encode(head));
	}

	private void pass(long millis) {
		this.scheduler.advance(Duration.ofMillis(millis));
	}

}
