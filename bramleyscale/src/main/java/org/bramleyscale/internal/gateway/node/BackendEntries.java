package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.limit.ColdEndpoints;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.StoreRevision;

/**
 * Applies changes of endpoint entries to the table of backends.
 *
 * <p>
 * Invariants: an entry that can't be read provides no endpoint, even if an earlier
 * version could be read, since its current content is unknown; the other entries stay in
 * use. No state of one start of an endpoint applies to its next start. An endpoint that
 * has left stays left if the store comes back from an older copy. Confined to the
 * scheduler's thread.
 */
final class BackendEntries {

	private final Documents documents;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadTracker loads;

	private final Supplier<Duration> sinceOutage;

	private final DecisionLog log;

	private Optional<ColdEndpoints> cold = Optional.empty();

	private final Map<String, EndpointStart> starts = new HashMap<>();

	private final Set<String> unreadable = new HashSet<>();

	private final EndpointDepartures departures = new EndpointDepartures();

	/**
	 * Creates the listener for entries.
	 * @param documents reads entries
	 * @param backends the table of endpoints
	 * @param health its state of an earlier start is discarded
	 * @param loads their state of an earlier start is discarded
	 * @param sinceOutage the time since the last outage of the store, in which entries
	 * may have expired
	 * @param log takes a line when an entry can't be read
	 */
	BackendEntries(Documents documents, BackendTable backends, BackendHealth health, LoadTracker loads,
			Supplier<Duration> sinceOutage, DecisionLog log) {
		this.documents = documents;
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.sinceOutage = sinceOutage;
		this.log = log;
	}

	/**
	 * Sets the limits of cold endpoints, to which each readable entry is reported.
	 * @param limits the limits
	 */
	void reportTo(ColdEndpoints limits) {
		this.cold = Optional.of(limits).filter(ColdEndpoints::enabled);
	}

	/**
	 * Applies the new copy of an entry, or its deletion.
	 * @param object the copy
	 */
	void changed(ObjectCopy object) {
		if (object.deleted()) {
			this.unreadable.remove(object.name());
			EndpointStart start = this.starts.remove(object.name());
			if (start != null) {
				this.departures.removed(object, start);
				this.backends.remove(start.id(), this.sinceOutage.get());
				remove(start);
			}
			return;
		}
		try {
			Backend backend = this.documents.backend(object.name(), object.value());
			if (this.cold.isPresent()) {
				// Reported first, so that an endpoint is never offered as warm.
				this.cold.get().reported(backend, this.documents.coldRemaining(object.name(), object.value()));
			}
			apply(object, backend);
		}
		catch (Documents.DocumentException ex) {
			markUnreadable(object, ex.getMessage());
		}
	}

	private void apply(ObjectCopy object, Backend backend) {
		this.unreadable.remove(object.name());
		EndpointStart previous = this.starts.put(object.name(), backend.start());
		if (previous != null && !previous.equals(backend.start())) {
			remove(previous);
		}
		switch (this.departures.judge(object, backend)) {
			case BELIEVED -> this.backends.put(backend);
			case DRAINING -> this.backends.put(backend.drained());
			case DOUBTFUL -> this.backends.putIfItStays(backend);
		}
	}

	/**
	 * Removes an endpoint until its entry can be read again. Its start is kept, since it
	 * may be the same then.
	 * @param object the entry
	 * @param reason why it can't be read
	 */
	private void markUnreadable(ObjectCopy object, String reason) {
		EndpointStart start = this.starts.get(object.name());
		if (start != null) {
			this.backends.removeAtOnce(start.id());
		}
		if (this.unreadable.add(object.name())) {
			// Logged once until the entry can be read again, not for each version.
			this.log.belief("entry", object.name(), "readable", false, "revision",
					StoreRevision.text(object.revision()), "reason", reason);
		}
	}

	private void remove(EndpointStart start) {
		this.loads.remove(start);
		this.health.remove(start);
	}

}
