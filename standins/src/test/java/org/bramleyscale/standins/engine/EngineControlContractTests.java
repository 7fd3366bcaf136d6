package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The contract on cancels, reports, orders and holds between the client for endpoints and
 * an engine, over loopback.
 */
class EngineControlContractTests {

	private static final Duration LONG = Duration.ofSeconds(20);

	private static final int ENDLESS = 5000;

	private EngineFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new EngineFixture(EngineFixture.fast());
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	void cancelsAtEachPoint() throws Exception {
		Truth.assertThat(cancel(1)).isEqualTo(CancelResult.NEVER_STARTED);
		ServingException late = RecordingListener.await(this.fixture.generate(EngineFixture.request(1, 5)).failed);
		Truth.assertThat(late.ran()).isEqualTo(Ran.NO);
		RecordingListener running = this.fixture.generate(EngineFixture.request(2, ENDLESS));
		RecordingListener.await(running.firstFrame);
		Truth.assertThat(cancel(2)).isEqualTo(CancelResult.STOPPED);
		ServingException stopped = RecordingListener.await(running.failed);
		Truth.assertThat(stopped.code()).isEqualTo(ErrorCode.CANCELLED);
		Truth.assertThat(stopped.ran()).isEqualTo(Ran.YES);
		RecordingListener.await(this.fixture.generate(EngineFixture.request(3, 5)).completed);
		Truth.assertThat(cancel(3)).isEqualTo(CancelResult.FINISHED);
		Truth.assertThat(this.fixture.engine(() -> this.fixture.engine.state().kvUsed())).isEqualTo(0);
	}

	@Test
	void failsACancelThatIsLost() throws Exception {
		this.fixture.fault(Fault.DROP_CANCELS);
		ServingException failure = this.fixture
			.failureOf(() -> this.fixture.client.cancel(this.fixture.entry(), EngineFixture.ID, 1));
		Truth.assertThat(failure.ran()).isEqualTo(Ran.UNKNOWN);
		Truth.assertThat(failure.step()).isEqualTo(Step.CANCEL);
	}

	@Test
	void reportsLoadAndLeaving() throws Exception {
		this.fixture.fault(Fault.LEAVING);
		RecordingListener.await(this.fixture.generate(EngineFixture.request(1, ENDLESS)).firstFrame);
		LoadReport report = report();
		while (report.running() == 0) {
			report = report();
		}
		Truth.assertThat(report.leaving()).isTrue();
		Truth.assertThat(report.kvUsed()).isEqualTo(ENDLESS + TokenCount.of(EngineFixture.PROMPT));
		Truth.assertThat(report.kvCapacity()).isEqualTo(10_000);
		Truth.assertThat(report.models()).containsExactly("assist");
	}

	@Test
	void tellsOfCachedPrefixes() throws Exception {
		String prompt = "manual ".repeat(400);
		RecordingListener
			.await(this.fixture.generate(EngineFixture.request(1, "assist", prompt, "", 5, LONG, List.of())).completed);
		List<CacheEvent> events = this.fixture.call(() -> this.fixture.client.cacheEvents(this.fixture.entry(), 1));
		Truth.assertThat(events).hasSize(1);
		Truth.assertThat(events.get(0).sequence()).isEqualTo(2);
		Truth.assertThat(events.get(0).stored()).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void refusesAnOldFenceOnlyIfToldTo(boolean checksFencing) throws Exception {
		EngineFixture other = new EngineFixture(EngineFixture.fast().withFencing(checksFencing));
		try (other) {
			other.call(() -> other.client.order(other.entry(), load("other", 8)));
			if (checksFencing) {
				ServingException failure = other.failureOf(() -> other.client.order(other.entry(), load("late", 7)));
				Truth.assertThat(failure.code()).isEqualTo(ErrorCode.CONFLICT);
			}
			else {
				other.call(() -> other.client.order(other.entry(), load("late", 7)));
			}
		}
	}

	@Test
	void keepsMemoryForHolds() throws Exception {
		Truth.assertThat(hold("h1", 6000)).isTrue();
		Truth.assertThat(hold("h2", 6000)).isFalse();
		Truth.assertThat(hold("h1", 7000)).isTrue();
		List<EngineHold> holds = this.fixture.call(() -> this.fixture.client.holds(this.fixture.entry()));
		Truth.assertThat(holds).hasSize(1);
		Truth.assertThat(holds.get(0).kvTokens()).isEqualTo(7000);
		Truth.assertThat(holds.get(0).holder()).isEqualTo("entry-1~10");
		RecordingListener large = this.fixture.generate(EngineFixture.request(1, "assist", EngineFixture.PROMPT, "",
				20_000, LONG, List.of("engine-1=h1", "engine-2=h1")));
		RecordingListener.await(large.firstFrame);
		this.fixture.call(() -> this.fixture.client.release(this.fixture.entry(), "h1"));
		Truth.assertThat(this.fixture.engine(() -> this.fixture.engine.state().kvUsed())).isEqualTo(7000);
		cancel(1);
		Truth.assertThat(this.fixture.engine(() -> this.fixture.engine.state().kvUsed())).isEqualTo(0);
	}

	private CancelResult cancel(int attempt) throws Exception {
		return this.fixture.call(() -> this.fixture.client.cancel(this.fixture.entry(), EngineFixture.ID, attempt));
	}

	private LoadReport report() throws Exception {
		return this.fixture.call(() -> this.fixture.client.report(this.fixture.entry()));
	}

	private boolean hold(String hold, long tokens) throws Exception {
		EngineHold wanted = new EngineHold(hold, new Incarnation(new VmId("entry-1"), 36).toString(), tokens, LONG);
		return this.fixture.call(() -> this.fixture.client.hold(this.fixture.entry(), wanted));
	}

	private static EngineOrder load(String model, long fence) {
		return new EngineOrder(EngineOrder.Kind.LOAD_MODEL, model, fence);
	}

}
