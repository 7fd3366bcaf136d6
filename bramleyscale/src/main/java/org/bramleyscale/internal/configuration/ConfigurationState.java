package org.bramleyscale.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The version that this daemon holds.
 *
 * <p>
 * Invariant: the held version never decreases. A reply of a slow peer or of a platform
 * that was restored may carry an earlier version; putting it in force would bring back
 * what an operator was told is gone. Confined to the scheduler's thread.
 */
final class ConfigurationState {

	private final History history = new History();

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private Snapshot held = Snapshot.EMPTY;

	Snapshot held() {
		return this.held;
	}

	long version() {
		return this.held.version();
	}

	/**
	 * Puts a version in force.
	 * @param next the version
	 * @return false if it isn't later than the held one, so that nothing was changed
	 */
	boolean adopt(Snapshot next) {
		if (next.version() <= this.held.version()) {
			return false;
		}
		this.history.add(new HistoryStep(this.held.version(), this.held.hash(), next.version(), next.hash(),
				next.changesSince(this.held)));
		hold(next);
		return true;
	}

	/**
	 * Puts a version in force that came with its history.
	 * @param next the version
	 * @param steps the steps that led to it
	 * @return false if it isn't later than the held one, so that nothing was changed
	 */
	boolean adopt(Snapshot next, List<HistoryStep> steps) {
		if (next.version() <= this.held.version()) {
			return false;
		}
		this.history.replace(steps, next);
		hold(next);
		return true;
	}

	List<HistoryStep> history() {
		return this.history.all();
	}

	Optional<List<HistoryStep>> stepsSince(long version, ContentHash hash) {
		return this.history.since(version, hash);
	}

	Optional<Snapshot> at(long version) {
		return this.history.earlier(version, this.held);
	}

	void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	private void hold(Snapshot next) {
		this.held = next;
		this.listeners.forEach((listener) -> listener.accept(next.configuration()));
	}

}
