package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link CrashLedger}.
 */
class CrashLedgerTests {

	private static final RequestDigest DEADLY = new RequestDigest("deadly");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final CrashLedger ledger = new CrashLedger(this.scheduler);

	/** Guards against memory that grows with requests which callers make up. */
	@Test
	void forgetsThoseThatFellLeastWhenItIsFull() {
		for (int i = 0; i < CrashLedger.ACCUSED; i++) {
			this.ledger.crashed(DEADLY, endpoint(i));
		}
		for (int i = 0; i < 3 * CrashLedger.MOST_SUSPECTS; i++) {
			this.ledger.crashed(new RequestDigest("made up " + i), endpoint(0));
		}
		Truth.assertThat(this.ledger.suspects()).isEqualTo(CrashLedger.MOST_SUSPECTS);
		Truth.assertThat(this.ledger.verdict(DEADLY, 0)).isEqualTo(Verdict.TRIAL);
	}

	/** Guards against bytes between daemons that never end after one crash. */
	@Test
	void repeatsACrashForAWhileAndRemembersIt() {
		this.ledger.crashed(DEADLY, endpoint(1));
		Truth.assertThat(this.ledger.worst(20)).hasSize(1);
		this.scheduler.advance(CrashLedger.REPEATED.plus(Duration.ofSeconds(1)));
		Truth.assertThat(this.ledger.worst(20)).isEmpty();
		Truth.assertThat(this.ledger.verdict(DEADLY, 0)).isEqualTo(Verdict.SUSPECT);
	}

	@Test
	void countsAnEndpointOnceWhoeverTellsOfIt() {
		Truth.assertThat(this.ledger.crashed(DEADLY, endpoint(1))).isTrue();
		Truth.assertThat(this.ledger.crashed(DEADLY, endpoint(1))).isFalse();
		Truth.assertThat(this.ledger.crashes(DEADLY)).isEqualTo(1);
	}

	@Test
	void anEndpointThatLivesCountsForNobody() {
		this.ledger.crashed(DEADLY, endpoint(1));
		Truth.assertThat(this.ledger.lives(endpoint(1))).isTrue();
		Truth.assertThat(this.ledger.verdict(DEADLY, 0)).isEqualTo(Verdict.CLEAR);
	}

	private static EndpointStart endpoint(int number) {
		return EndpointStart.untold("e" + number);
	}

}
