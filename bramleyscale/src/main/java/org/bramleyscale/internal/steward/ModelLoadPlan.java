package org.bramleyscale.internal.steward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.EngineOrder;

/**
 * Plans the next model loads and unloads.
 *
 * <p>
 * Invariants: the number of loads in progress doesn't exceed
 * {@link StewardSettings#maxConcurrentLoads()}; a model with fewer copies in the data
 * centre is loaded first, so that each model has one copy before any has two; the last
 * copy of a model that another endpoint should have stays loaded until another copy is
 * loaded or the load timeout has elapsed. An order is repeated if the endpoint's report
 * doesn't show its effect in time, or shows that it was undone. Deterministic; confined
 * to the scheduler's thread.
 */
final class ModelLoadPlan {

	private final StewardSettings settings;

	private final Map<PlannedOrder, IssuedOrder> issued = new LinkedHashMap<>();

	private final Map<PlannedOrder, Long> retainedSince = new HashMap<>();

	ModelLoadPlan(StewardSettings settings) {
		this.settings = settings;
	}

	/**
	 * Compares the desired with the observed models.
	 * @param endpoints the endpoints to which orders may be sent
	 * @param now the monotonic time
	 * @return the orders to send now
	 */
	List<PlannedOrder> next(List<ObservedEndpoint> endpoints, long now) {
		discardSettled(endpoints, now);
		List<PlannedOrder> orders = new ArrayList<>(unloads(endpoints, now));
		orders.addAll(loads(endpoints));
		return orders;
	}

	/**
	 * Records an order that is being sent.
	 * @param order the order
	 * @param boot the endpoint's boot number
	 * @param now the monotonic time
	 */
	void issued(PlannedOrder order, long boot, long now) {
		this.issued.put(order, new IssuedOrder(boot, now, false));
	}

	/**
	 * Records that an order failed, so that it is repeated after a delay.
	 * @param order the order
	 * @param now the monotonic time
	 */
	void failed(PlannedOrder order, long now) {
		this.issued.computeIfPresent(order, (key, previous) -> new IssuedOrder(previous.boot, now, true));
	}

	long loading() {
		return this.issued.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().loads() && !entry.getValue().failed)
			.count();
	}

	private void discardSettled(List<ObservedEndpoint> endpoints, long now) {
		Map<EndpointId, ObservedEndpoint> byName = new HashMap<>();
		endpoints.forEach((endpoint) -> byName.put(endpoint.entry().name(), endpoint));
		this.issued.entrySet()
			.removeIf((entry) -> settled(entry.getKey(), entry.getValue(),
					Optional.ofNullable(byName.get(entry.getKey().endpoint())), now));
		this.retainedSince.keySet().removeIf((order) -> !byName.containsKey(order.endpoint()));
	}

	private boolean settled(PlannedOrder order, IssuedOrder state, Optional<ObservedEndpoint> endpoint, long now) {
		if (now - state.since >= timeout(order, state)) {
			return true;
		}
		return endpoint.isPresent() && (endpoint.get().report().boot() != state.boot
				|| endpoint.get().loaded(order.model()) == order.loads());
	}

	private long timeout(PlannedOrder order, IssuedOrder state) {
		boolean loadInProgress = order.loads() && !state.failed;
		return ((loadInProgress) ? this.settings.loadTimeout() : this.settings.repeatDelay()).toNanos();
	}

	private List<PlannedOrder> unloads(List<ObservedEndpoint> endpoints, long now) {
		List<PlannedOrder> orders = new ArrayList<>();
		for (ObservedEndpoint endpoint : endpoints) {
			for (String model : endpoint.surplus()) {
				PlannedOrder order = new PlannedOrder(endpoint.entry().name(), EngineOrder.Kind.UNLOAD_MODEL, model);
				long remaining = loadedCopies(model, endpoints) - unloading(model, orders);
				if (!this.issued.containsKey(order) && !retained(order, remaining, endpoints, now)) {
					orders.add(order);
				}
			}
		}
		return orders;
	}

	private boolean retained(PlannedOrder order, long remaining, List<ObservedEndpoint> endpoints, long now) {
		// If the register moves a model, unloading the old copy immediately would leave
		// no copy until the new one is loaded, and requests would be refused for minutes.
		// The time limit is needed for engines without memory for both models.
		boolean desired = endpoints.stream().anyMatch((endpoint) -> endpoint.desires(order.model()));
		if (!desired || remaining > 1) {
			this.retainedSince.remove(order);
			return false;
		}
		long since = this.retainedSince.computeIfAbsent(order, (key) -> now);
		return now - since < this.settings.loadTimeout().toNanos();
	}

	private List<PlannedOrder> loads(List<ObservedEndpoint> endpoints) {
		List<PlannedOrder> candidates = missing(endpoints);
		Map<String, Long> copies = copies(endpoints);
		List<PlannedOrder> orders = new ArrayList<>();
		long available = this.settings.maxConcurrentLoads() - loading();
		while (orders.size() < available && !candidates.isEmpty()) {
			PlannedOrder next = candidates.stream()
				.min(Comparator.comparingLong((order) -> copies.getOrDefault(order.model(), 0L)))
				.orElseThrow();
			candidates.remove(next);
			copies.merge(next.model(), 1L, Long::sum);
			orders.add(next);
		}
		return orders;
	}

	private List<PlannedOrder> missing(List<ObservedEndpoint> endpoints) {
		List<PlannedOrder> orders = new ArrayList<>();
		for (ObservedEndpoint endpoint : endpoints) {
			for (String model : endpoint.missing()) {
				PlannedOrder order = new PlannedOrder(endpoint.entry().name(), EngineOrder.Kind.LOAD_MODEL, model);
				if (!this.issued.containsKey(order)) {
					orders.add(order);
				}
			}
		}
		return orders;
	}

	private Map<String, Long> copies(List<ObservedEndpoint> endpoints) {
		Map<String, Long> copies = new HashMap<>();
		for (ObservedEndpoint endpoint : endpoints) {
			endpoint.report().models().forEach((model) -> copies.merge(model, 1L, Long::sum));
		}
		this.issued.forEach((order, state) -> {
			if (order.loads() && !state.failed) {
				copies.merge(order.model(), 1L, Long::sum);
			}
		});
		return copies;
	}

	private static long loadedCopies(String model, List<ObservedEndpoint> endpoints) {
		return endpoints.stream().filter((endpoint) -> endpoint.loaded(model)).count();
	}

	private long unloading(String model, List<PlannedOrder> planned) {
		return Stream.concat(this.issued.keySet().stream(), planned.stream())
			.filter((order) -> !order.loads() && order.model().equals(model))
			.count();
	}

	/**
	 * The state of an order that was sent.
	 *
	 * @param boot the endpoint's boot number when the order was sent
	 * @param since the monotonic time at which it was sent or failed
	 * @param failed whether it failed
	 */
	private record IssuedOrder(long boot, long since, boolean failed) {
	}

}
