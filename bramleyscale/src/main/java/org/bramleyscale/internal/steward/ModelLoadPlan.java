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
 * Decides which models to load and unload next.
 *
 * <p>
 * Invariants: at most the given number of loads are under way; a model with fewer copies
 * in the data centre is loaded first, so that each model has one copy before any has two;
 * the last copy of a model that is wanted elsewhere stays until another is loaded, or the
 * load timeout has passed. An order is repeated when the report doesn't show its effect
 * in time, or shows it undone. Deterministic; confined to the scheduler's thread.
 */
final class ModelLoadPlan {

	private final StewardSettings settings;

	private final Map<PlannedOrder, Given> given = new LinkedHashMap<>();

	private final Map<PlannedOrder, Long> keptSince = new HashMap<>();

	ModelLoadPlan(StewardSettings settings) {
		this.settings = settings;
	}

	/**
	 * Compares desired with observed.
	 * @param endpoints the endpoints that may be given orders
	 * @param now the monotonic time
	 * @return the orders to give now
	 */
	List<PlannedOrder> next(List<ObservedEndpoint> endpoints, long now) {
		forget(endpoints, now);
		List<PlannedOrder> orders = new ArrayList<>(unloads(endpoints, now));
		orders.addAll(loads(endpoints));
		return orders;
	}

	/**
	 * Remembers an order that is being given.
	 * @param order the order
	 * @param boot the endpoint's boot number
	 * @param now the monotonic time
	 */
	void given(PlannedOrder order, long boot, long now) {
		this.given.put(order, new Given(boot, now, false));
	}

	/**
	 * Remembers that an order failed, so that it is repeated after a pause.
	 * @param order the order
	 * @param now the monotonic time
	 */
	void failed(PlannedOrder order, long now) {
		this.given.computeIfPresent(order, (key, before) -> new Given(before.boot, now, true));
	}

	long loading() {
		return this.given.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().loads() && !entry.getValue().failed)
			.count();
	}

	private void forget(List<ObservedEndpoint> endpoints, long now) {
		Map<EndpointId, ObservedEndpoint> byName = new HashMap<>();
		endpoints.forEach((endpoint) -> byName.put(endpoint.entry().name(), endpoint));
		this.given.entrySet()
			.removeIf((entry) -> settled(entry.getKey(), entry.getValue(),
					Optional.ofNullable(byName.get(entry.getKey().endpoint())), now));
		this.keptSince.keySet().removeIf((order) -> !byName.containsKey(order.endpoint()));
	}

	private boolean settled(PlannedOrder order, Given state, Optional<ObservedEndpoint> endpoint, long now) {
		if (now - state.since >= patience(order, state)) {
			return true;
		}
		return endpoint.isPresent() && (endpoint.get().report().boot() != state.boot
				|| endpoint.get().loaded(order.model()) == order.loads());
	}

	private long patience(PlannedOrder order, Given state) {
		boolean longOne = order.loads() && !state.failed;
		return ((longOne) ? this.settings.loadTimeout() : this.settings.repeatAfter()).toNanos();
	}

	private List<PlannedOrder> unloads(List<ObservedEndpoint> endpoints, long now) {
		List<PlannedOrder> orders = new ArrayList<>();
		for (ObservedEndpoint endpoint : endpoints) {
			for (String model : endpoint.surplus()) {
				PlannedOrder order = new PlannedOrder(endpoint.entry().name(), EngineOrder.Kind.UNLOAD_MODEL, model);
				long remaining = loadedCopies(model, endpoints) - unloading(model, orders);
				if (!this.given.containsKey(order) && !kept(order, remaining, endpoints, now)) {
					orders.add(order);
				}
			}
		}
		return orders;
	}

	private boolean kept(PlannedOrder order, long remaining, List<ObservedEndpoint> endpoints, long now) {
		// When the register moves a model, unloading the old copy at once would leave the
		// model without any until the new one is loaded, which shows as refusals for
		// minutes. The limit in time is for engines without room for both.
		boolean wanted = endpoints.stream().anyMatch((endpoint) -> endpoint.desires(order.model()));
		if (!wanted || remaining > 1) {
			this.keptSince.remove(order);
			return false;
		}
		long since = this.keptSince.computeIfAbsent(order, (key) -> now);
		return now - since < this.settings.loadTimeout().toNanos();
	}

	private List<PlannedOrder> loads(List<ObservedEndpoint> endpoints) {
		List<PlannedOrder> wanted = missing(endpoints);
		Map<String, Long> copies = copies(endpoints);
		List<PlannedOrder> orders = new ArrayList<>();
		long room = this.settings.mostLoads() - loading();
		while (orders.size() < room && !wanted.isEmpty()) {
			PlannedOrder next = wanted.stream()
				.min(Comparator.comparingLong((order) -> copies.getOrDefault(order.model(), 0L)))
				.orElseThrow();
			wanted.remove(next);
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
				if (!this.given.containsKey(order)) {
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
		this.given.forEach((order, state) -> {
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
		return Stream.concat(this.given.keySet().stream(), planned.stream())
			.filter((order) -> !order.loads() && order.model().equals(model))
			.count();
	}

	/**
	 * The state of an order.
	 */
	private record Given(long boot, long since, boolean failed) {
	}

}
