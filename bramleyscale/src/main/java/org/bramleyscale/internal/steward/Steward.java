package org.bramleyscale.internal.steward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.lease.Leases;
import org.bramleyscale.internal.lease.Leases.LeaseListener;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Reconciles the models loaded by a data centre's endpoints with the register, while this
 * daemon holds the data centre's lease.
 *
 * <p>
 * Invariant: no order is sent unless the lease is held. Desired and observed models are
 * compared periodically, which corrects the effect of a lost order and of a late order of
 * an earlier holder. During an outage of the platform the lease expires and no models are
 * loaded; those already loaded continue to serve requests. Confined to the scheduler's
 * thread.
 */
public final class Steward implements StateDump {

	private static final int MAX_DUMPED = 100;

	private final Scheduler scheduler;

	private final Leases leases;

	private final EngineClient engines;

	private final ConfigurationSource configuration;

	private final DataCentre dataCentre;

	private final Function<EndpointId, Optional<LoadReport>> reports;

	private final StewardSettings settings;

	private final MetricRegistry metrics;

	private Tenure tenure;

	private Steward(Builder builder) {
		this.scheduler = builder.scheduler;
		this.leases = builder.leases;
		this.engines = builder.engines;
		this.configuration = builder.configuration;
		this.dataCentre = builder.dataCentre;
		this.reports = builder.reports;
		this.settings = builder.settings;
		this.metrics = builder.metrics;
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * The name of the lease that protects the model loads of a data centre.
	 * @param dataCentre the data centre
	 * @return the lease's name
	 */
	public static String leaseName(DataCentre dataCentre) {
		return "model-loads-" + dataCentre;
	}

	/**
	 * Starts trying to acquire the lease.
	 */
	public void start() {
		this.leases.acquire(leaseName(this.dataCentre), new LeaseListener() {

			@Override
			public void acquired(Lease lease) {
				Steward.this.tenure = new Tenure(lease);
			}

			@Override
			public void lost(Lease lease) {
				end();
			}

		});
	}

	/**
	 * Stops reconciling and releases the lease.
	 */
	public void stop() {
		this.leases.release(leaseName(this.dataCentre));
		end();
	}

	@Override
	public String name() {
		return "steward";
	}

	@Override
	public Object dump() {
		return Optional.ofNullable(this.tenure).map(Tenure::view).orElse(StewardView.IDLE);
	}

	private void end() {
		if (this.tenure != null) {
			this.tenure.reconciliation.cancel();
			this.tenure = null;
		}
	}

	/**
	 * One tenure of the lease.
	 */
	private final class Tenure {

		private final Lease lease;

		private final FencedOrders orders;

		private final ModelLoadPlan plan;

		private final Cancellable reconciliation;

		private Tenure(Lease lease) {
			Steward steward = Steward.this;
			this.lease = lease;
			this.orders = new FencedOrders(steward.scheduler, steward.engines, lease, steward.settings.maxOrderDelay(),
					steward.metrics);
			this.plan = new ModelLoadPlan(steward.settings);
			this.reconciliation = steward.scheduler.repeat(steward.settings.reconcileInterval(), this::reconcile);
		}

		private void reconcile() {
			long now = Steward.this.scheduler.nanos();
			List<ObservedEndpoint> endpoints = observed();
			for (PlannedOrder order : this.plan.next(endpoints, now)) {
				endpoints.stream()
					.filter((endpoint) -> endpoint.entry().name().equals(order.endpoint()))
					.forEach((endpoint) -> send(order, endpoint));
			}
		}

		private void send(PlannedOrder order, ObservedEndpoint endpoint) {
			this.plan.issued(order, endpoint.report().boot(), Steward.this.scheduler.nanos());
			this.orders.send(endpoint.entry(), order.kind(), order.model()).thenAccept((outcome) -> {
				if (outcome != OrderOutcome.ACCEPTED) {
					this.plan.failed(order, Steward.this.scheduler.nanos());
				}
			});
		}

		private List<ObservedEndpoint> observed() {
			List<ObservedEndpoint> endpoints = new ArrayList<>();
			for (EndpointEntry entry : Steward.this.configuration.current().register().endpoints()) {
				if (managed(entry) && this.orders.acceptsOrders(entry)) {
					Steward.this.reports.apply(entry.name())
						.filter((report) -> !report.leaving())
						.ifPresent((report) -> endpoints.add(new ObservedEndpoint(entry, report)));
				}
			}
			return endpoints;
		}

		private boolean managed(EndpointEntry entry) {
			return entry.dataCentre().equals(Steward.this.dataCentre) && !entry.models().isEmpty() && !entry.leaving();
		}

		private StewardView view() {
			List<String> waiting = Steward.this.configuration.current()
				.register()
				.endpoints()
				.stream()
				.filter((entry) -> managed(entry) && !this.orders.acceptsOrders(entry))
				.limit(MAX_DUMPED)
				.map((entry) -> entry.name().value())
				.toList();
			return new StewardView(this.lease.held(), this.lease.number(), this.plan.loading(), waiting);
		}

	}

	/**
	 * Builds a steward; every property except the settings is required.
	 */
	public static final class Builder {

		private Scheduler scheduler;

		private Leases leases;

		private EngineClient engines;

		private ConfigurationSource configuration;

		private DataCentre dataCentre;

		private Function<EndpointId, Optional<LoadReport>> reports;

		private StewardSettings settings = StewardSettings.DEFAULT;

		private MetricRegistry metrics;

		public Builder scheduler(Scheduler scheduler) {
			this.scheduler = scheduler;
			return this;
		}

		public Builder leases(Leases leases) {
			this.leases = leases;
			return this;
		}

		public Builder engines(EngineClient engines) {
			this.engines = engines;
			return this;
		}

		public Builder configuration(ConfigurationSource configuration) {
			this.configuration = configuration;
			return this;
		}

		public Builder dataCentre(DataCentre dataCentre) {
			this.dataCentre = dataCentre;
			return this;
		}

		public Builder reports(Function<EndpointId, Optional<LoadReport>> reports) {
			this.reports = reports;
			return this;
		}

		public Builder settings(StewardSettings settings) {
			this.settings = settings;
			return this;
		}

		public Builder metrics(MetricRegistry metrics) {
			this.metrics = metrics;
			return this;
		}

		public Steward build() {
			require("scheduler", this.scheduler);
			require("leases", this.leases);
			require("engines", this.engines);
			require("configuration", this.configuration);
			require("data centre", this.dataCentre);
			require("reports", this.reports);
			require("metrics", this.metrics);
			return new Steward(this);
		}

		private static void require(String property, Object value) {
			if (value == null) {
				throw new IllegalArgumentException("steward requires property: " + property);
			}
		}

	}

}
