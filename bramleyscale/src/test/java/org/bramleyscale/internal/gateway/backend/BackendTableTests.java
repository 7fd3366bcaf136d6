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

	private static final ServiceName SERVICE = new ServiceName("quotes");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final BackendTable table = new BackendTable(this.scheduler, DecisionLog.NONE);

	@ParameterizedTest
	@CsvSource({ "false, 0, 0", "true, 1900, 1", "true, 2000, 0" })
	void removalsTakeEffectAtOnceUnlessTheStoreWasUnavailable(boolean afterOutage, long millis, int left) {
		// Symptom: after an outage of the store no endpoint is known for two seconds.
		// Sequence: the store is silent, entries lapse, the store returns and lists none.
		// Cause: living endpoints need up to two seconds to write their entries again.
		this.table.put(backend("a", false));
		this.table.remove(new EndpointId("a"), afterOutage);
		this.scheduler.advance(Duration.ofMillis(millis));
		this.table.expire();
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(left);
	}

	@Test
	void lapsedEndpointThatReturnsInTimeIsKept() {
		this.table.put(backend("a", false));
		this.table.remove(new EndpointId("a"), true);
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
		this.table.remove(new EndpointId("a"), true);
		Truth.assertThat(this.table.all()).isEmpty();
	}

	/** Guards against a list that is behind and brings an endpoint back that leaves. */
	@Test
	void leavingEndpointStaysDrainingWhateverItsEntrySays() {
		Backend ready = started("a", 1_000);
		this.table.put(ready);
		this.table.leaves(ready.start());
		Truth.assertThat(this.table.offers(ready)).isFalse();
		this.table.put(ready);
		Truth.assertThat(this.table.usable(SERVICE)).isEmpty();
		this.table.remove(ready.id(), true);
		Truth.assertThat(this.table.all()).isEmpty();
		this.table.put(ready);
		Truth.assertThat(this.table.usable(SERVICE)).isEmpty();
		this.table.put(started("a", 2_000));
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(1);
	}

	@Test
	void endpointMayLeaveBeforeItsEntryIsKnown() {
		Backend ready = started("a", 1_000);
		this.table.leaves(ready.start());
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
	void entriesWithoutStartTimeAreLeftOutWhereMostHaveOne(int told, int untold, int usable) {
		// Symptom: requests go to an address at which no endpoint of the platform
		// listens.
		// Sequence: another program writes an entry that lacks only the time of its
		// start.
		// Cause: it is taken for one of an older platform, which doesn't tell it.
		for (int i = 0; i < told; i++) {
			this.table.put(started("told-" + i, 1_000));
		}
		for (int i = 0; i < untold; i++) {
			this.table.put(backend("untold-" + i, false));
		}
		Truth.assertThat(this.table.usable(SERVICE)).hasSize(usable);
	}

	@Test
	void detectsRestartedEndpoint() {
		Backend first = started("a", 1_000);
		this.table.put(first);
		Truth.assertThat(this.table.startedAgain(first)).isFalse();
		this.table.put(started("a", 2_000));
		Truth.assertThat(this.table.startedAgain(first)).isTrue();
		this.table.remove(new EndpointId("a"), false);
		Truth.assertThat(this.table.startedAgain(first)).isFalse();
	}

	private static Backend started(String id, long bornMillis) {
		return new Backend(new EndpointStart(new EndpointId(id), bornMillis), SERVICE,
				HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, false);
	}

	private static Backend backend(String id, boolean draining) {
		return new Backend(EndpointStart.untold(id), SERVICE, HostAndPort.fromParts("10.0.0.1", 80),
				new DataCentre("east"), 4, draining);
	}

}
