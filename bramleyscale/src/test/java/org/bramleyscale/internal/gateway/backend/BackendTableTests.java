package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.List;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link BackendTable}.
 */
class BackendTableTests {

	private static final Duration LONG_AGO = Duration.ofHours(1);

	private static final ServiceName SERVICE = new ServiceName("quotes");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final BackendTable table = new BackendTable(this.scheduler, DecisionLog.NONE);

	@ParameterizedTest
	@CsvSource({ "3600000, 0, 0", "0, 1900, 1", "0, 2000, 0", "1500, 400, 1", "1500, 500, 0", "2000, 0, 0" })
	void removalsTakeEffectAtOnceUnlessTheStoreWasUnavailable(long sinceOutage, long millis, int usable) {
		// Guards against having no known endpoint for two seconds after an outage of the
		// store: entries lapse during the outage, so the recovered store lists none,
		// and live endpoints need up to two seconds to write their entries again.
		this.table.put(backend("a", false));
		this.table.remove(new EndpointId("a"), Duration.ofMillis(sinceOutage));
		this.scheduler.advance(Duration.ofMillis(millis));
		this.table.expire();
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(usable);
	}

	@Test
	void lapsedEndpointThatReturnsInTimeIsKept() {
		this.table.put(backend("a", false));
		this.table.remove(new EndpointId("a"), Duration.ZERO);
		this.scheduler.advance(Duration.ofMillis(1_500));
		this.table.put(backend("a", false));
		this.scheduler.advance(Duration.ofSeconds(5));
		this.table.expire();
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(1);
	}

	@Test
	void drainingEndpointIsNotUsableAndIsRemovedAtOnce() {
		this.table.put(backend("a", false));
		this.table.put(backend("a", true));
		Truth.assertThat(this.table.usable(SERVICE)).isEmpty();
		this.table.remove(new EndpointId("a"), Duration.ZERO);
		Truth.assertThat(this.table.all()).isEmpty();
	}

	/** Guards against a stale list that makes a leaving endpoint usable again. */
	@Test
	void leavingEndpointStaysDrainingWhateverItsEntrySays() {
		Backend ready = started("a", 1_000);
		this.table.put(ready);
		this.table.announceLeaving(ready.start());
		Truth.assertThat(this.table.acceptsRequests(ready)).isFalse();
		this.table.put(ready);
		Truth.assertThat(this.table.usable(SERVICE)).isEmpty();
		this.table.remove(ready.id(), Duration.ZERO);
		Truth.assertThat(this.table.all()).isEmpty();
		this.table.put(ready);
		Truth.assertThat(this.table.usable(SERVICE)).isEmpty();
		this.table.put(started("a", 2_000));
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(1);
	}

	@Test
	void endpointMayLeaveBeforeItsEntryIsKnown() {
		Backend ready = started("a", 1_000);
		this.table.announceLeaving(ready.start());
		this.table.put(ready);
		Truth.assertThat(this.table.usable(SERVICE)).isEmpty();
	}

	@Test
	void offersEndpointsInTheOrderOfTheirIds() {
		List.of("c", "a", "b").forEach((id) -> this.table.put(backend(id, false)));
		Truth.assertThat(this.table.usable(SERVICE).stream().map((each) -> each.id().value()).toList())
			.containsExactly("a", "b", "c")
			.inOrder();
	}

	@ParameterizedTest
	@CsvSource({ "3, 0, 3", "3, 1, 3", "1, 2, 3", "0, 3, 3" })
	void entriesWithoutStartTimeAreLeftOutWhereMostHaveOne(int withStart, int withoutStart, int usable) {
		// Guards against sending requests to an address at which no endpoint of the
		// platform listens: an entry written by another program lacks only the start
		// time, and was treated as an entry of an older platform, which provides none.
		for (int i = 0; i < withStart; i++) {
			this.table.put(started("with-start-" + i, 1_000));
		}
		for (int i = 0; i < withoutStart; i++) {
			this.table.put(backend("without-start-" + i, false));
		}
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(usable);
	}

	@Test
	void detectsRestartedEndpoint() {
		Backend first = started("a", 1_000);
		this.table.put(first);
		Truth.assertThat(this.table.hasRestarted(first)).isFalse();
		this.table.put(started("a", 2_000));
		Truth.assertThat(this.table.hasRestarted(first)).isTrue();
		this.table.remove(new EndpointId("a"), LONG_AGO);
		Truth.assertThat(this.table.hasRestarted(first)).isFalse();
	}

	private static Backend started(String id, long startMillis) {
		return new Backend(new EndpointStart(new EndpointId(id), startMillis), SERVICE,
				HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, false);
	}

	private static Backend backend(String id, boolean draining) {
		return new Backend(EndpointStart.withUnknownStart(id), SERVICE, HostAndPort.fromParts("10.0.0.1", 80),
				new DataCentre("east"), 4, draining);
	}

}
