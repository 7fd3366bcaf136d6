package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.List;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.VmRecord;

/**
 * Reads the platform's list, on relays only, and applies what follows from it.
 *
 * <p>
 * Invariant: the list alone declares nobody dead. A member is declared dead for being off
 * the list only if its whole data centre is silent, so that nobody is left there to hear
 * its silence. If all of a silent data centre were leaving, their end was planned and
 * needs no list to confirm it; one that lives after all refutes. Confined to the
 * scheduler's thread.
 */
final class PlatformPoll {

	private final ObjectStore store;

	private final PlatformList list;

	private final MemberTable table;

	private final DataCentreSilences silences;

	private final Relays relays;

	private final Claims claims;

	private final DataCentre own;

	private final Duration suspicion;

	private final Counter polls;

	private boolean reading;

	PlatformPoll(ObjectStore store, PlatformList list, MemberTable table, DataCentreSilences silences, Relays relays,
			Claims claims, DataCentre own, Duration suspicion, MetricRegistry metrics) {
		this.store = store;
		this.list = list;
		this.table = table;
		this.silences = silences;
		this.relays = relays;
		this.claims = claims;
		this.own = own;
		this.suspicion = suspicion;
		this.polls = metrics.counter("membership.list-polls");
	}

	/**
	 * Reads the list if this daemon is a relay and no reading is under way.
	 */
	void poll() {
		if (this.reading || !this.relays.isRelay()) {
			return;
		}
		this.reading = true;
		this.polls.inc();
		this.store.vms().whenComplete((records, failure) -> {
			this.reading = false;
			if (failure == null) {
				read(records);
			}
		});
	}

	/**
	 * Applies the marks of the latest reading, which count for more as they age.
	 */
	void apply() {
		if (!this.relays.isRelay()) {
			return;
		}
		for (MemberEntry entry : List.copyOf(this.table.all())) {
			boolean near = entry.identity().dataCentre().equals(this.own);
			if (near && !entry.leaving() && this.list.leaving(entry.incarnation())) {
				this.claims.markLeaving(entry.vm());
			}
			else if (!near && this.silences.silent(entry.identity().dataCentre()) && isOver(entry)) {
				this.claims.dead(entry.incarnation());
			}
		}
	}

	/**
	 * Whether a member of a silent data centre is dead. Of a leaving one that only paused
	 * others would say that nobody knows what became of its requests, so it gets the time
	 * that any suspect has to refute.
	 * @param entry the member
	 * @return true if its end is certain enough
	 */
	private boolean isOver(MemberEntry entry) {
		DataCentre dataCentre = entry.identity().dataCentre();
		boolean silentForLong = this.silences.silence(dataCentre).compareTo(this.suspicion) >= 0;
		return this.list.gone(entry.vm()) || (silentForLong && this.relays.allLeaving(dataCentre));
	}

	private void read(List<VmRecord> records) {
		this.list.read(records, this.table);
		apply();
	}

}
