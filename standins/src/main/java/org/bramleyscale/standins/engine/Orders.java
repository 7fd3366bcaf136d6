package org.bramleyscale.standins.engine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.bramleyscale.internal.endpoint.EngineOrder;

/**
 * What orders have made of an engine.
 *
 * <p>
 * Invariant: if fencing is checked, an order with a smaller number than one taken before
 * changes nothing. Confined to the scheduler's thread.
 */
final class Orders {

	private final boolean checksFencing;

	private final Set<String> models;

	private long newestFence;

	private String role = "";

	Orders(boolean checksFencing, List<String> models) {
		this.checksFencing = checksFencing;
		this.models = new LinkedHashSet<>(models);
	}

	/**
	 * Takes an order.
	 * @param order the order
	 * @return false if its number is too old
	 */
	boolean take(EngineOrder order) {
		if (this.checksFencing && order.fence() < this.newestFence) {
			return false;
		}
		this.newestFence = Math.max(this.newestFence, order.fence());
		if (order.kind() == EngineOrder.Kind.SET_ROLE) {
			this.role = order.desired();
		}
		else if (order.kind() == EngineOrder.Kind.UNLOAD_MODEL) {
			this.models.remove(order.desired());
		}
		else {
			this.models.add(order.desired());
		}
		return true;
	}

	boolean loaded(String model) {
		return this.models.contains(model);
	}

	List<String> models() {
		return List.copyOf(this.models);
	}

	String role() {
		return this.role;
	}

}
