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
 * Model loads under a lease, with holders that are paused and orders that arrive late.
 */
class StewardTests {

	private static final DataCentre QUAN1 = new DataCentre("quan1");

	private static final StewardSettings SETTINGS = StewardSettings.DEFAULT;

	private final LeaseCluster cluster = new LeaseCluster(2);

	private final MetricRegistry metrics = new MetricRegistry();

	private final OrderedEngines engines = new OrderedEngines(this.cluster.scheduler());

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void lateOrderOfAPausedHolderDoesNotLast(boolean checksFencing) {
		// Symptom: an engine keeps a model that the register no longer wants.
		// Sequence: a holder checks its lease and sends an order, which is held up for a
		// minute; the holder is paused, another one takes the lease and loads a newer
		// model; the old order arrives.
		// Cause: no check before sending can cover the time on the way.
		OrderedEngines.Client slow = steward(0, OrderedEngines.entry("e1", checksFencing, "old"));
		slow.delay(Duration.ofMinutes(1));
		this.cluster.pass(SETTINGS.longestLateOrder().plusSeconds(2));
		this.cluster.seat(0).scheduler().pause();
		steward(1, OrderedEngines.entry("e1", checksFencing, "new"));
		this.cluster.pass(Duration.ofMinutes(1).plusSeconds(30));
		Truth.assertThat(this.engines.log().toString())
			.contains("LOAD_MODEL old 1" + ((checksFencing) ? " refused" : ""));
		Truth.assertThat(this.engines.models("e1")).containsExactly("new");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void waitsOutLateOrdersOnlyWhereNumbersAreIgnored(boolean checksFencing) {
		steward(0, OrderedEngines.entry("e1", checksFencing, "m1"));
		this.cluster.pass(SETTINGS.longestLateOrder().minusSeconds(1));
		Truth.assertThat(this.engines.log().isEmpty()).isEqualTo(!checksFencing);
		this.cluster.pass(Duration.ofSeconds(3));
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
	}

	@Test
	void givesNoOrderOnceTheLeaseHasLapsed() {
		// Symptom: orders during an outage of the platform, when another may hold the
		// lease.
		// Sequence: the platform goes down; an engine restarts after the lease lapsed.
		// Cause: the holder goes on from what it knew.
		steward(0, OrderedEngines.entry("e1", true, "m1"));
		this.cluster.pass(Duration.ofSeconds(5));
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
		this.cluster.faults().inject(PlatformFault.of(PlatformFault.Kind.DOWN));
		this.cluster.pass(LeaseCluster.SETTINGS.duration());
		this.engines.restart("e1");
		this.cluster.pass(Duration.ofMinutes(1));
		Truth.assertThat(this.engines.models("e1")).isEmpty();
		Truth.assertThat(this.metrics.counter("order.not_held").getCount()).isEqualTo(0);
		this.cluster.faults().clear();
		this.cluster.pass(LeaseCluster.SETTINGS.duration());
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
	}

	@Test
	void checksTheLeaseJustBeforeEachOrder() {
		// Symptom: a holder that was paused orders as if it still held the lease.
		// Sequence: it is paused past the expiry and goes on where it stopped, before its
		// timers have run.
		// Cause: the lease was checked once, at the beginning of the work.
		this.cluster.started();
		Lease lease = this.cluster.seat(0).manager().lease(LeaseCluster.LEASE).orElseThrow();
		FencedOrders orders = new FencedOrders(this.cluster.seat(0).scheduler(), this.engines.new Client(), lease,
				SETTINGS.longestLateOrder(), new MetricRegistry());
		EndpointEntry engine = OrderedEngines.entry("e1", true, "m1");
		this.cluster.seat(0).scheduler().pause();
		this.cluster.pass(LeaseCluster.SETTINGS.duration());
		CompletableFuture<OrderOutcome> outcome = orders.give(engine, EngineOrder.Kind.LOAD_MODEL, "m1");
		this.cluster.pass(Duration.ofSeconds(1));
		Truth.assertThat(outcome.getNow(null)).isEqualTo(OrderOutcome.NOT_HELD);
		Truth.assertThat(this.engines.log()).isEmpty();
	}

	@Test
	void reloadsAfterAnEngineRestarted() {
		steward(0, OrderedEngines.entry("e1", true, "m1"));
		this.cluster.pass(Duration.ofSeconds(5));
		this.engines.restart("e1");
		this.cluster.pass(Duration.ofSeconds(5));
		Truth.assertThat(this.engines.models("e1")).containsExactly("m1");
	}

	private OrderedEngines.Client steward(int seat, EndpointEntry... endpoints) {
		OrderedEngines.Client client = this.engines.new Client();
		LeaseCluster.Seat daemon = this.cluster.seat(seat);
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
