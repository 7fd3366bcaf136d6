package org.bramleyscale;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks settings that must fit each other.
 */
final class SettingRelations {

	private final Map<SettingKey<?>, Object> values;

	private final List<SettingsProblem> problems = new ArrayList<>();

	private SettingRelations(Map<SettingKey<?>, Object> values) {
		this.values = values;
	}

	/**
	 * What doesn't fit.
	 * @param values values by key; missing ones are left out of the checks
	 * @return the problems, possibly none
	 */
	static List<SettingsProblem> problems(Map<SettingKey<?>, Object> values) {
		SettingRelations relations = new SettingRelations(values);
		relations.differ(SettingKey.PEER_ADDRESS, SettingKey.HTTP_ADDRESS);
		relations.atLeast(SettingKey.LEASE_DURATION, SettingKey.PLATFORM_CALL_TIMEOUT, 3);
		relations.atLeast(SettingKey.CONFIGURATION_STALE_AFTER, SettingKey.PLATFORM_WATCH_WAIT, 4);
		relations.moreThan(SettingKey.MAX_FRAME_BYTES, SettingKey.MAX_BODY_BYTES);
		relations.moreThan(SettingKey.MAX_QUEUED_BYTES, SettingKey.MAX_FRAME_BYTES);
		return relations.problems;
	}

	private void differ(SettingKey<?> key, SettingKey<?> other) {
		Object value = this.values.get(key);
		if (value != null && value.equals(this.values.get(other))) {
			add(key, "an address other than " + other);
		}
	}

	// A lease that lasts no longer than a slow call would lapse while its renewal is
	// under
	// way, so that holders change at each slow spell of the platform.
	private void atLeast(SettingKey<Duration> key, SettingKey<Duration> other, int times) {
		Duration least = ((Duration) this.values.get(other)).multipliedBy(times);
		if (((Duration) this.values.get(key)).compareTo(least) < 0) {
			add(key, "at least " + times + " times " + other);
		}
	}

	private <T extends Comparable<T>> void moreThan(SettingKey<T> key, SettingKey<T> other) {
		@SuppressWarnings("unchecked")
		T value = (T) this.values.get(key);
		@SuppressWarnings("unchecked")
		T bound = (T) this.values.get(other);
		if (value.compareTo(bound) <= 0) {
			add(key, "more than " + other + ", which is " + bound);
		}
	}

	private void add(SettingKey<?> key, String allowed) {
		this.problems.add(new SettingsProblem(key.name(), String.valueOf(this.values.get(key)), allowed));
	}

}
