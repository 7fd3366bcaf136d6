package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of requests whose endpoints are in a data centre that is evacuated meanwhile.
 */
class EvacuatedRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	@Test
	void requestThatRunsInAnEvacuatedDataCentreContinues() {
		RecordingCaller caller = this.fixture.call("/stream/1");
		this.fixture.last().sendEvents(1, 2);
		this.fixture.evacuated.addAll(List.of("a", "b", "c"));
		this.fixture.scheduler.advance(Duration.ofMillis(500));
		this.fixture.last().sendEvents(3, 3);
		this.fixture.last().listener.complete();
		Truth.assertThat(caller.received.toString()).contains("1 2 3");
		Truth.assertThat(this.fixture.sent).hasSize(1);
	}

	/** Guards against retries and resumed streams in an evacuated data centre. */
	@ParameterizedTest
	@CsvSource({ "/stream/1, true", "/log/1, true", "/stream/1, false", "/log/1, false" })
	void retriesAndResumedStreamsGoElsewhere(String path, boolean refused) {
		this.fixture.call(path);
		EndpointId first = this.fixture.last().to.id();
		List.of("a", "b", "c")
			.stream()
			.filter((id) -> !id.equals(first.value()))
			.findFirst()
			.ifPresent(this.fixture.evacuated::add);
		if (refused) {
			this.fixture.last().respond(503, true, "");
		}
		else {
			this.fixture.last().listener.failed(true, "reset");
		}
		Truth.assertThat(this.fixture.sent).hasSize(2);
		Truth.assertThat(this.fixture.evacuated).doesNotContain(this.fixture.last().to.id().value());
	}

	/**
	 * Guards against a request or a part of its prompt that is sent to an engine which
	 * was evacuated while memory was being reserved.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void requestAwaitingMemoryIsPlacedAgainIfOneOfItsEnginesIsEvacuated(String evacuated) {
		Backend target = this.fixture.engine("a");
		Backend holder = this.fixture.engine("b");
		Backend helper = this.fixture.engine("c");
		this.fixture.scriptedPlacements.add(Placement.at(target, List.of(holder, helper), 1, 1, "long")
			.holding(List.of(new MemoryHold(holder, 100))));
		this.fixture.call("/stream/x");
		this.fixture.scheduler.advance(Duration.ofMillis(1));
		this.fixture.evacuated.add(evacuated);
		this.fixture.orders.answer(true);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.last().to.id().value()).isNotEqualTo(evacuated);
		Truth.assertThat(this.fixture.last().request.helpers()).isEmpty();
	}

}
