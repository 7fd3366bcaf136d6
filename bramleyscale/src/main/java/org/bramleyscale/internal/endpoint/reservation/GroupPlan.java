package org.bramleyscale.internal.endpoint.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * Chooses a group of engines that together hold a prompt that is too large for one
 * engine.
 *
 * <p>
 * Invariants: the parts add up to what is needed, no part exceeds what its engine may
 * hold, and the parts are in the order of the endpoints' names, in which all reservations
 * acquire them. Engines of a single data centre are preferred, since they exchange KV
 * memory. Stateless and safe for use by multiple threads.
 */
final class GroupPlan {

	/** Largest fraction of an engine's memory that a hold may take. */
	static final double HOLDABLE = 0.85;

	private GroupPlan() {
	}

	/**
	 * Chooses engines.
	 * @param engines the engines
	 * @param kvTokens the total memory needed, in tokens
	 * @return the parts in the order in which they must be acquired, or empty if all
	 * engines together are too small
	 */
	static Optional<List<Part>> of(List<Engine> engines, long kvTokens) {
		Map<DataCentre, List<Engine>> byDataCentre = new LinkedHashMap<>();
		for (Engine engine : engines) {
			byDataCentre.computeIfAbsent(engine.entry.dataCentre(), (key) -> new ArrayList<>()).add(engine);
		}
		return byDataCentre.values()
			.stream()
			.filter((group) -> holdable(group) >= kvTokens)
			.max(Comparator.comparingLong(GroupPlan::free))
			.or(() -> Optional.of(engines).filter((group) -> holdable(group) >= kvTokens))
			.map((group) -> split(choose(group, kvTokens), kvTokens));
	}

	/**
	 * Returns the largest amount that could be held on all engines together.
	 * @param engines the engines
	 * @return tokens
	 */
	static long holdable(List<Engine> engines) {
		return engines.stream().mapToLong(Engine::holdable).sum();
	}

	private static long free(List<Engine> engines) {
		return engines.stream().mapToLong(Engine::free).sum();
	}

	private static List<Engine> choose(List<Engine> engines, long kvTokens) {
		List<Engine> byFree = new ArrayList<>(engines);
		byFree.sort(Comparator.comparingLong(Engine::free)
			.reversed()
			.thenComparing((engine) -> engine.entry.name().value()));
		List<Engine> chosen = new ArrayList<>();
		long sum = 0;
		for (Engine engine : byFree) {
			if (sum < kvTokens) {
				chosen.add(engine);
				sum += engine.holdable();
			}
		}
		return chosen;
	}

	private static List<Part> split(List<Engine> engines, long kvTokens) {
		double fraction = (double) kvTokens / holdable(engines);
		List<Engine> ordered = new ArrayList<>(engines);
		ordered.sort(Comparator.comparing((engine) -> engine.entry.name().value()));
		List<Part> parts = new ArrayList<>();
		long remaining = kvTokens;
		for (Engine engine : ordered) {
			long part = Math.min(remaining,
					Math.min(engine.holdable(), (long) Math.ceil(engine.holdable() * fraction)));
			parts.add(new Part(engine.entry, part));
			remaining -= part;
		}
		parts.removeIf((part) -> part.kvTokens == 0);
		return List.copyOf(parts);
	}

	/**
	 * An engine that may be part of a group.
	 *
	 * @param entry the engine
	 * @param kvCapacity its total KV memory, in tokens
	 * @param kvUsed its KV memory in use, in tokens
	 */
	record Engine(EndpointEntry entry, long kvCapacity, long kvUsed) {

		static Engine of(EndpointEntry entry, LoadReport report) {
			return new Engine(entry, report.kvCapacity(), report.kvUsed());
		}

		private long holdable() {
			return (long) (this.kvCapacity * HOLDABLE);
		}

		private long free() {
			return this.kvCapacity - this.kvUsed;
		}

	}

	/**
	 * One engine's part of the reservation.
	 *
	 * @param entry the engine
	 * @param kvTokens the memory to hold there, in tokens
	 */
	record Part(EndpointEntry entry, long kvTokens) {
	}

}
