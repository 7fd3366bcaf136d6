package org.bramleyscale.internal.gateway.node;

import java.util.LinkedHashMap;
import java.util.Map;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.platform.StoreRevision;

/**
 * Remembers which endpoints have left, for the time at which the store comes back from an
 * older copy in which they haven't.
 *
 * <p>
 * Invariant: what an entry says in the first state of an era is believed only as far as
 * it doesn't take back a departure of an earlier era; a later write in that era is
 * believed. Confined to the scheduler's thread.
 */
final class EndpointDepartures {

	/** The most departures kept; the oldest are forgotten beyond it. */
	private static final int MAX_DEPARTURES = 10_000;

	private final Map<String, Departure> departures = new LinkedHashMap<>();

	/**
	 * Records that an entry was removed.
	 * @param removal the tombstone
	 * @param start the start that it named last
	 */
	void removed(ObjectCopy removal, EndpointStart start) {
		record(removal.name(), new Departure(start, removal.revision(), false));
	}

	/**
	 * Judges a copy of an entry.
	 * @param copy the copy
	 * @param entry its content
	 * @return what to make of it
	 */
	Judgement judge(ObjectCopy copy, Backend entry) {
		Departure known = this.departures.get(copy.name());
		boolean older = known != null && known.start().equals(entry.start())
				&& StoreRevision.isOfEarlierEra(known.revision(), copy.revision());
		if (older && known.draining()) {
			record(copy.name(), new Departure(entry.start(), copy.revision(), true));
			return Judgement.DRAINING;
		}
		if (older && StoreRevision.revision(copy.revision()) < StoreRevision.revision(known.revision())) {
			record(copy.name(), new Departure(entry.start(), copy.revision(), false));
			return Judgement.DOUBTFUL;
		}
		if (entry.draining()) {
			record(copy.name(), new Departure(entry.start(), copy.revision(), true));
		}
		else {
			this.departures.remove(copy.name());
		}
		return Judgement.BELIEVED;
	}

	private void record(String name, Departure departure) {
		this.departures.remove(name);
		this.departures.put(name, departure);
		if (this.departures.size() > MAX_DEPARTURES) {
			this.departures.remove(this.departures.keySet().iterator().next());
		}
	}

	/**
	 * What to make of an entry.
	 */
	enum Judgement {

		/** It is as it says. */
		BELIEVED,

		/** It is leaving, whatever it says. */
		DRAINING,

		/** It was removed before, and is gone unless it stays on the list. */
		DOUBTFUL

	}

	/**
	 * The last departure of an entry.
	 *
	 * @param start the start that departed
	 * @param revision the revision at which it was known
	 * @param draining whether the endpoint was leaving; otherwise its entry was removed
	 */
	private record Departure(EndpointStart start, long revision, boolean draining) {
	}

}
