package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of what {@link RelayedRequest} tells and asks the crash guard.
 */
class SuspectedRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	/** Guards against sending what was found to crash endpoints while it waited. */
	@Test
	void requestAwaitingMemoryIsRefusedOnceItIsBlocked() {
		Backend target = this.fixture.engine("a");
		Backend holder = this.fixture.engine("b");
		this.fixture.scriptedPlacements
			.add(Placement.at(target, List.of(holder), 1, 1, "long").holding(List.of(new MemoryHold(holder, 100))));
		RecordingCaller caller = this.fixture.call("/stream/x");
		this.fixture.scheduler.advance(Duration.ofMillis(1));
		this.fixture.crashGuard.blocked = true;
		this.fixture.orders.answer(true);
		Truth.assertThat(this.fixture.sent).isEmpty();
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
	}

	/** Guards against clearing parts of a prompt on which no whole answer was written. */
	@ParameterizedTest
	@CsvSource({ "200, true, completed", "200, false, closed", "500, true, survived" })
	void onlyWholeAnswersCompleteARequest(int status, boolean framed, String outcome) {
		this.fixture.call("/book/x");
		SentRequest sent = this.fixture.last();
		sent.listener.head(RelayFixture.head(status, false, true, false));
		if (framed) {
			sent.listener.complete();
		}
		else {
			sent.listener.closed();
		}
		Truth.assertThat(this.fixture.crashGuard.outcomes).containsExactly(outcome);
	}

}
