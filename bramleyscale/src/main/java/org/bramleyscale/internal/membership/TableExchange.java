package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Lists;
import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Clock;

/**
 * Finds and sends only what two tables hold differently.
 *
 * <p>
 * Claims are pushed when they arise, but a push may be lost or miss a daemon that was cut
 * off. That shows as heartbeats whose digests differ for longer than pushes take; the
 * digests of each data centre and then the summaries of those that differ lead to the
 * entries. Confined to the scheduler's thread.
 */
final class TableExchange {

	private static final int ENTRIES_IN_MESSAGE = 50;

	private final MemberTable table;

	private final PeerNetwork network;

	private final Clock clock;

	private final MembershipTimes times;

	private final Counter exchanges;

	private long lastExchange;

	private long lastComparison;

	TableExchange(MemberTable table, PeerNetwork network, Clock clock, MembershipTimes times, MetricRegistry metrics) {
		this.table = table;
		this.network = network;
		this.clock = clock;
		this.times = times;
		this.exchanges = metrics.counter("membership.exchanges");
		this.lastExchange = clock.nanos() - times.exchange().toNanos();
		this.lastComparison = this.lastExchange;
		network.listen(Digests.class, (from, message) -> compare(from.vm(), message));
		network.listen(Summaries.class, (from, message) -> reconcile(from.vm(), message));
		network.listen(Wanted.class, (from, message) -> send(from.vm(), entries(message.vms())));
	}

	/**
	 * Notes that a peer's digest differs from this table's.
	 * @param peer the peer
	 */
	void differs(VmId peer) {
		long now = this.clock.nanos();
		boolean settled = now - this.table.changedAt() > this.times.settle().toNanos()
				|| now - this.lastExchange > this.times.longestUnsettled().toNanos();
		if (settled && now - this.lastExchange >= this.times.exchange().toNanos()) {
			this.lastExchange = now;
			this.exchanges.inc();
			this.network.send(peer, new Digests(Map.copyOf(this.table.digests())));
		}
	}

	void send(VmId peer, List<MemberEntry> entries) {
		for (List<MemberEntry> part : Lists.partition(entries, ENTRIES_IN_MESSAGE)) {
			this.network.send(peer, new Entries(List.copyOf(part), List.of()));
		}
	}

	/**
	 * Compares digests, those of one peer at a time. Several peers offer themselves to a
	 * daemon that has just started, and each would send it the whole table.
	 * @param peer the peer
	 * @param theirs its digests
	 */
	private void compare(VmId peer, Digests theirs) {
		long now = this.clock.nanos();
		if (now - this.lastComparison < this.times.exchange().toNanos()) {
			return;
		}
		this.lastComparison = now;
		Set<DataCentre> all = new HashSet<>(theirs.byDataCentre().keySet());
		all.addAll(this.table.digests().keySet());
		for (DataCentre dataCentre : all) {
			Long own = this.table.digests().get(dataCentre);
			if (own == null || !own.equals(theirs.byDataCentre().get(dataCentre))) {
				List<MemberSummary> summaries = inDataCentre(dataCentre).stream().map(MemberSummary::of).toList();
				this.network.send(peer, new Summaries(dataCentre, summaries));
			}
		}
	}

	private void reconcile(VmId peer, Summaries theirs) {
		Map<VmId, MemberSummary> byVm = new HashMap<>();
		theirs.members().forEach((summary) -> byVm.put(summary.vm(), summary));
		List<MemberEntry> newer = new ArrayList<>();
		for (MemberEntry own : inDataCentre(theirs.dataCentre())) {
			MemberSummary other = byVm.get(own.vm());
			boolean missed = other == null && own.health() != Health.DEAD;
			if (missed || (other != null && adds(MemberSummary.of(own), other))) {
				newer.add(own);
			}
		}
		send(peer, newer);
		List<VmId> wanted = theirs.members().stream().filter(this::wants).map(MemberSummary::vm).toList();
		if (!wanted.isEmpty()) {
			this.network.send(peer, new Wanted(wanted));
		}
	}

	private boolean wants(MemberSummary theirs) {
		Optional<MemberEntry> own = this.table.get(theirs.vm());
		return own.map((entry) -> adds(theirs, MemberSummary.of(entry))).orElse(theirs.health() != Health.DEAD);
	}

	/**
	 * Whether merging one summary into another would change the other.
	 * @param one the summary that might add something
	 * @param other the summary merged into
	 * @return true if it adds something
	 */
	private static boolean adds(MemberSummary one, MemberSummary other) {
		if (one.start() != other.start()) {
			return one.start() > other.start();
		}
		if (one.leaving() && !other.leaving()) {
			return true;
		}
		return (one.version() != other.version()) ? one.version() > other.version()
				: one.health().compareTo(other.health()) > 0;
	}

	private List<MemberEntry> inDataCentre(DataCentre dataCentre) {
		return this.table.all().stream().filter((entry) -> entry.identity().dataCentre().equals(dataCentre)).toList();
	}

	private List<MemberEntry> entries(List<VmId> vms) {
		return vms.stream().map(this.table::get).flatMap(Optional::stream).toList();
	}

}
