package org.bramleyscale.internal.gateway.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.FollowedObject;
import org.bramleyscale.internal.gateway.load.LoadBoard;
import org.bramleyscale.internal.gateway.log.DecisionLog;

/**
 * Takes the entries of endpoints as they change.
 *
 * <p>
 * Invariants: an entry that can't be read names no endpoint, also where it could be read
 * before, since nobody knows what it would say; the other entries hold. Nothing that was
 * remembered of one start of an endpoint counts for the next. Confined to the scheduler's
 * thread.
 */
final class BackendEntries {

	private final Documents documents;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadBoard loads;

	private final BooleanSupplier afterOutage;

	private final DecisionLog log;

	private final Map<String, EndpointStart> starts = new HashMap<>();

	private final Set<String> unreadable = new HashSet<>();

	/**
	 * Makes the taker of entries.
	 * @param documents reads entries
	 * @param backends gets the endpoints
	 * @param health forgets starts that are over
	 * @param loads forgets starts that are over
	 * @param afterOutage whether an entry off the list may have lapsed while the store
	 * was away
	 * @param log takes what can't be read
	 */
	BackendEntries(Documents documents, BackendTable backends, BackendHealth health, LoadBoard loads,
			BooleanSupplier afterOutage, DecisionLog log) {
		this.documents = documents;
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.afterOutage = afterOutage;
		this.log = log;
	}

	/**
	 * Takes an entry's new copy, or its deletion.
	 * @param object the copy
	 */
	void changed(FollowedObject object) {
		if (object.deleted()) {
			this.unreadable.remove(object.name());
			EndpointStart start = this.starts.remove(object.name());
			if (start != null) {
				this.backends.remove(start.id(), this.afterOutage.getAsBoolean());
				forget(start);
			}
			return;
		}
		try {
			take(object.name(), this.documents.backend(object.name(), object.value()));
		}
		catch (Documents.DocumentException ex) {
			unreadable(object, ex.getMessage());
		}
	}

	private void take(String name, Backend backend) {
		this.unreadable.remove(name);
		EndpointStart before = this.starts.put(name, backend.start());
		if (before != null && !before.equals(backend.start())) {
			forget(before);
		}
		this.backends.put(backend);
	}

	/**
	 * Uses an endpoint no more until its entry can be read again. Its start is kept: it
	 * may well be the same then.
	 * @param object the entry
	 * @param reason what is wrong with it
	 */
	private void unreadable(FollowedObject object, String reason) {
		EndpointStart start = this.starts.get(object.name());
		if (start != null) {
			this.backends.remove(start.id(), false);
		}
		if (this.unreadable.add(object.name())) {
			// Once, not each time that its writer writes it anew.
			this.log.belief("entry", object.name(), "readable", false, "revision", object.revision(), "reason", reason);
		}
	}

	private void forget(EndpointStart start) {
		this.loads.forget(start);
		this.health.forget(start);
	}

}
