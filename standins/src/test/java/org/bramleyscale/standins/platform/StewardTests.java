package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.steward.FencedOrders;
import org.bramleyscale.internal.steward.OrderOutcome;
import org.bramleyscale.internal.steward.Steward;
import org.bramleyscale.internal.steward.StewardSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests model loads under a lease with paused holders and late orders.
 */
class StewardTests {

	private static final DataCentre QUAN1 = new DataCentre("quan1");

	private static final StewardSettings SETTINGS = StewardSettings.DEFAULT;

	private final LeaseCluster cluster = new LeaseCluster(2);

	private final MetricRegistry metrics = new MetricRegistry();

	private final FakeEngines engines = new FakeEngines(this.cluster.scheduler());

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void lateOrderOfAPausedHolderHasNoLastingEffect(boolean checksFencing) {
		// Symptom: an engine keeps a model that is no longer in the register.
		// Sequence: a holder checks its lease and sends an order, which is delayed by a
		// minute; the holder is paused, another one takes the lease and loads a newer
		// model; the old order arrives.
		// Cause: a check before sending cannot cover the time in transit.
		FakeEngines.Client slow = steward(0, FakeEngines.entry("e1", checksFencing, "old"));
		slow.delay(Duration.ofMinutes(1));
		this.cluster.advance(SETTINGS.maxOrderDelay().plusSeconds(2));
		this.cluster.daemon(0).scheduler().pause();
		steward(1, FakeEngines.entry("e1", checksFencing, "new"));
		this.cluster.advance(Duration.ofMinutes(1).plusSeconds(30));
		Truth.assertThat(this.engines.log().toString())
			.contains("LOAD_MODEL old 1" + ((checksFencing) ? " refused" : ""));
		Truth.assertThat(this.engines.models("e1")).containsExactly("new");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void waitsForLateOrdersOnlyIfFencingIsNotChecked(boolean checksFencing) {
		steward(0, FakeEngines.entry("e1", checksFencing, "m1"));
		this.cluster.advance(SETTINGS.maxOrderDelay().minusSeconds(1));
		Truth.assertThat(this.engines.log().isEmpty()).isEqualTo(!checksFencing);
		this.cluster.advance(Duration.ofSeconds(3));
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
	}

	@Test
	void sendsNoOrderAfterTheLeaseExpired() {
		// Symptom: orders are sent during an outage of the platform, when another daemon
		// may hold the lease.
		// Sequence: the platform goes down; an engine restarts after the lease expired.
		// Cause: the holder continues with outdated state.
		steward(0, FakeEngines.entry("e1", true, "m1"));
		this.cluster.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
		this.cluster.faults().inject(PlatformFault.of(PlatformFault.Kind.DOWN));
		this.cluster.advance(LeaseCluster.SETTINGS.duration());
		this.engines.restart("e1");
		this.cluster.advance(Duration.ofMinutes(1));
		Truth.assertThat(this.engines.models("e1")).isEmpty();
		Truth.assertThat(this.metrics.counter("order.not_held").getCount()).isEqualTo(0);
		this.cluster.faults().clear();
		this.cluster.advance(LeaseCluster.SETTINGS.duration());
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
	}

	@Test
	void checksTheLeaseJustBeforeEachOrder() {
		// Symptom: a holder that was paused sends orders as if it still held the lease.
		// Sequence: it is paused past the expiry and continues where it stopped, before
		// its timers have run.
		// Cause: the lease is checked only once, at the beginning of the work.
		this.cluster.started();
		Lease lease = this.cluster.daemon(0).manager().lease(LeaseCluster.LEASE).orElseThrow();
		FencedOrders orders = new FencedOrders(this.cluster.daemon(0).scheduler(), this.engines.new Client(), lease,
				SETTINGS.maxOrderDelay(), new MetricRegistry());
		EndpointEntry engine = FakeEngines.entry("e1", true, "m1");
		this.cluster.daemon(0).scheduler().pause();
		this.cluster.advance(LeaseCluster.SETTINGS.duration());
		CompletableFuture<OrderOutcome> outcome = orders.send(engine, EngineOrder.Kind.LOAD_MODEL, "m1");
		this.cluster.advance(Duration.ofSeconds(1));
		Truth.assertThat(outcome.getNow(null)).isEqualTo(OrderOutcome.NOT_HELD);
		Truth.assertThat(this.engines.log()).isEmpty();
	}

	@Test
	void reloadsAfterAnEngineRestarted() {
		steward(0, FakeEngines.entry("e1", true, "m1"));
		this.cluster.advance(Duration.ofSeconds(5));
		this.engines.restart("e1");
		this.cluster.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
	}

	private FakeEngines.Client steward(int daemonIndex, EndpointEntry... endpoints) {
		FakeEngines.Client client = this.engines.new Client();
		LeaseCluster.Daemon daemon = this.cluster.daemon(daemonIndex);
		Steward.builder()
			.scheduler(daemon.scheduler())
			.leases(daemon.manager())
			.engines(client)
			.configuration(new FixedConfiguration(List.of(endpoints)))
			.dataCentre(QUAN1)
			.reports(this.engines::report)
			.metrics(this.metrics)
			.build()
			.start();
		return client;
	}

	/**
	 * A configuration that never changes.
	 */
	private record FixedConfiguration(List<EndpointEntry> endpoints) implements ConfigurationSource {

		@Override
		public Configuration current() {
			Register register = new Register(List.of(), List.of(), List.of(), this.endpoints);
			return new Configuration(1, register, Rules.EMPTY);
		}

		@Override
		public boolean fresh() {
			return true;
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
		}

	}

}
