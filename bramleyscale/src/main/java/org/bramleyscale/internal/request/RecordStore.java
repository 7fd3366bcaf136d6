package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.bramleyscale.RequestId;
import org.bramleyscale.internal.time.Clock;

/**
 * Stores the records of requests whose home is this daemon.
 *
 * <p>
 * Invariants: a record that has not ended is never dropped; ended records are bounded in
 * number, bytes and age, and those that expire first are dropped first. The record of a
 * not-repeatable request is kept beyond its deadline, so that it covers retries of its
 * caller; later retries are detected by {@link UsedIds}. Not safe for use by multiple
 * threads.
 */
final class RecordStore {

	private final Clock clock;

	private final RequestSettings settings;

	private final Map<RequestId, RequestRecord> records = new LinkedHashMap<>();

	private final Map<RequestId, RequestId> aliases = new HashMap<>();

	private final PriorityQueue<Ended> ended = new PriorityQueue<>();

	private long endedBytes;

	private int unfinished;

	RecordStore(Clock clock, RequestSettings settings) {
		this.clock = clock;
		this.settings = settings;
	}

	void add(RequestRecord record) {
		this.records.put(record.id(), record);
		this.unfinished++;
	}

	/**
	 * Registers a second id for a record.
	 * @param alias the id used by a caller
	 * @param id the record's id
	 */
	void alias(RequestId alias, RequestId id) {
		this.aliases.put(alias, id);
	}

	Optional<RequestRecord> find(RequestId id) {
		RequestRecord record = this.records.get(this.aliases.getOrDefault(id, id));
		return Optional.ofNullable(record);
	}

	/**
	 * Counts an ended record towards the bounds and drops records that exceed them.
	 * @param record the record
	 */
	void ended(RequestRecord record) {
		this.unfinished--;
		long bytes = record.bytes();
		this.endedBytes += bytes;
		this.ended.add(new Ended(record, dropAt(record), bytes));
		dropExpired();
	}

	/**
	 * Removes an ended record whose request is started again.
	 * @param record the record
	 */
	void restart(RequestRecord record) {
		this.ended.stream().filter((entry) -> entry.record == record).findFirst().ifPresent((entry) -> {
			this.ended.remove(entry);
			drop(entry);
		});
	}

	void dropExpired() {
		long now = this.clock.nanos();
		while (!this.ended.isEmpty() && (overBounds() || this.ended.peek().dropAt - now <= 0)) {
			drop(this.ended.poll());
		}
	}

	int unfinished() {
		return this.unfinished;
	}

	int endedCount() {
		return this.ended.size();
	}

	long endedBytes() {
		return this.endedBytes;
	}

	Collection<RequestRecord> all() {
		return this.records.values();
	}

	private boolean overBounds() {
		return this.ended.size() > this.settings.recordCount() || this.endedBytes > this.settings.recordBytes();
	}

	private void drop(Ended entry) {
		this.endedBytes -= entry.bytes;
		this.records.remove(entry.record.id(), entry.record);
		if (!this.aliases.isEmpty()) {
			this.aliases.values().remove(entry.record.id());
		}
	}

	private long dropAt(RequestRecord record) {
		Duration retention = (record.repeatable()) ? this.settings.repeatableRetention()
				: this.settings.notRepeatableRetention();
		long now = this.clock.nanos();
		long from = (record.repeatable()) ? now : Math.max(now, record.deadline());
		return from + retention.toNanos();
	}

	/**
	 * An ended record and its expiry.
	 *
	 * @param record the record
	 * @param dropAt when to drop it
	 * @param bytes its size as counted towards the bound
	 */
	private record Ended(RequestRecord record, long dropAt, long bytes) implements Comparable<Ended> {

		@Override
		public int compareTo(Ended other) {
			return Long.signum(this.dropAt - other.dropAt);
		}

	}

}
