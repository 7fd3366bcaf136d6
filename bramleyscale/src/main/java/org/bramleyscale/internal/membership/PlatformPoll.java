package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.List;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.VmRecord;

/**
 * Reads the platform's list of VMs, on relays only, and applies the resulting changes.
 *
 * <p>
 * Invariant: no member is declared dead because of the list alone. A member that was
 * removed from the list is declared dead only if its whole data centre is unresponsive,
 * so that no member is left there to detect its failure. If all members of an
 * unresponsive data centre were leaving, their end was planned and needs no confirmation
 * by the list; a member that is still alive refutes the claim. Confined to the
 * scheduler's thread.
 */
final class PlatformPoll {

	private final ObjectStore store;

	private final PlatformList list;

	private final MemberTable table;

	private final DataCentreStatuses dataCentres;

	private final Relays relays;

	private final Claims claims;

	private final DataCentre localDataCentre;

	private final Duration suspicionTimeout;

	private final Counter polls;

	private boolean readPending;

	PlatformPoll(ObjectStore store, PlatformList list, MemberTable table, DataCentreStatuses dataCentres, Relays relays,
			Claims claims, DataCentre localDataCentre, Duration suspicionTimeout, MetricRegistry metrics) {
		this.store = store;
		this.list = list;
		this.table = table;
		this.dataCentres = dataCentres;
		this.relays = relays;
		this.claims = claims;
		this.localDataCentre = localDataCentre;
		this.suspicionTimeout = suspicionTimeout;
		this.polls = metrics.counter("membership.list-polls");
	}

	/**
	 * Reads the list if this daemon is a relay and no read is pending.
	 */
	void poll() {
		if (this.readPending || !this.relays.isRelay()) {
			return;
		}
		this.readPending = true;
		this.polls.inc();
		this.store.vms().whenComplete((records, failure) -> {
			this.readPending = false;
			if (failure == null) {
				read(records);
			}
		});
	}

	/**
	 * Applies the leaving marks and removals of the latest read. It is called repeatedly
	 * since a mark applies to more incarnations as it ages.
	 */
	void apply() {
		if (!this.relays.isRelay()) {
			return;
		}
		for (MemberEntry entry : List.copyOf(this.table.all())) {
			boolean local = entry.identity().dataCentre().equals(this.localDataCentre);
			if (local && !entry.leaving() && this.list.isLeaving(entry.incarnation())) {
				this.claims.markLeaving(entry.vm());
			}
			else if (!local && this.dataCentres.isUnresponsive(entry.identity().dataCentre()) && isDead(entry)) {
				this.claims.declareDead(entry.incarnation());
			}
		}
	}

	/**
	 * Whether a member of an unresponsive data centre is dead. If a leaving member that
	 * was only paused were declared dead, other daemons would report the outcome of its
	 * requests as unknown, so it gets the same time to refute as any suspect.
	 * @param entry the member
	 * @return true if its end is sufficiently certain
	 */
	private boolean isDead(MemberEntry entry) {
		DataCentre dataCentre = entry.identity().dataCentre();
		boolean suspicionElapsed = this.dataCentres.unresponsiveFor(dataCentre).compareTo(this.suspicionTimeout) >= 0;
		return this.list.isRemoved(entry.vm()) || (suspicionElapsed && this.relays.allLeaving(dataCentre));
	}

	private void read(List<VmRecord> records) {
		this.list.read(records, this.table);
		apply();
	}

}
