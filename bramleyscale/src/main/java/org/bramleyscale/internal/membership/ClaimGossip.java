package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Gossips changed claims to other daemons.
 *
 * <p>
 * Each daemon sends a claim once, when it is new to it, to its successors and one more
 * daemon of its data centre; relays send the claims of their own data centre to all other
 * data centres. Claims that arrive in quick succession share a message. Confined to the
 * scheduler's thread.
 */
final class ClaimGossip {

	private static final Duration BATCH_DELAY = Duration.ofMillis(20);

	private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::value);

	private final MemberTable table;

	private final DataCentreStatuses dataCentres;

	private final PeerNetwork network;

	private final Scheduler scheduler;

	private final DataCentre localDataCentre;

	private final Supplier<Set<VmId>> localTargets;

	private final Supplier<Set<VmId>> remoteTargets;

	private final Set<VmId> changed = new LinkedHashSet<>();

	private boolean dataCentresChanged;

	private boolean scheduled;

	/**
	 * Creates an instance.
	 * @param table the claims about members
	 * @param dataCentres the claims about data centres
	 * @param network the network
	 * @param scheduler the scheduler
	 * @param localDataCentre the data centre of this daemon
	 * @param localTargets the recipients inside the data centre
	 * @param remoteTargets the recipients of the local data centre's claims in other data
	 * centres
	 */
	ClaimGossip(MemberTable table, DataCentreStatuses dataCentres, PeerNetwork network, Scheduler scheduler,
			DataCentre localDataCentre, Supplier<Set<VmId>> localTargets, Supplier<Set<VmId>> remoteTargets) {
		this.table = table;
		this.dataCentres = dataCentres;
		this.network = network;
		this.scheduler = scheduler;
		this.localDataCentre = localDataCentre;
		this.localTargets = localTargets;
		this.remoteTargets = remoteTargets;
	}

	void memberChanged(VmId vm) {
		this.changed.add(vm);
		scheduleFlush();
	}

	void dataCentresChanged() {
		this.dataCentresChanged = true;
		scheduleFlush();
	}

	private void flush() {
		this.scheduled = false;
		List<MemberEntry> entries = this.changed.stream().map(this.table::get).flatMap(Optional::stream).toList();
		List<DataCentreStatus> claims = this.dataCentresChanged ? this.dataCentres.claims() : List.of();
		this.changed.clear();
		this.dataCentresChanged = false;
		push(this.localTargets.get(), entries, claims);
		push(this.remoteTargets.get(), entries.stream().filter(this::isLocal).toList(), List.of());
	}

	private void push(Set<VmId> targets, List<MemberEntry> entries, List<DataCentreStatus> claims) {
		if (entries.isEmpty() && claims.isEmpty()) {
			return;
		}
		Set<VmId> sorted = new TreeSet<>(BY_NAME);
		sorted.addAll(targets);
		sorted.forEach((target) -> this.network.send(target, new Entries(entries, claims)));
	}

	private boolean isLocal(MemberEntry entry) {
		return entry.identity().dataCentre().equals(this.localDataCentre);
	}

	private void scheduleFlush() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.scheduler.schedule(BATCH_DELAY, this::flush);
		}
	}

}
