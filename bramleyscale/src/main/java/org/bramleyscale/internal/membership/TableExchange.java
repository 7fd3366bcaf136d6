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
 * Reconciles the member tables of two daemons by exchanging only the entries that differ
 * (anti-entropy).
 *
 * <p>
 * Claims are gossiped when they arise, but a message may be lost, or a partitioned daemon
 * may not receive it. Heartbeats then show digests that differ for longer than gossip
 * takes; the digests of each data centre, and then the summaries of those that differ,
 * identify the entries to send. Confined to the scheduler's thread.
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
		this.lastExchange = clock.nanos() - times.exchangeInterval().toNanos();
		this.lastComparison = this.lastExchange;
		network.listen(Digests.class, (from, message) -> compare(from.vm(), message));
		network.listen(Summaries.class, (from, message) -> reconcile(from.vm(), message));
		network.listen(Wanted.class, (from, message) -> send(from.vm(), entries(message.vms())));
	}

	/**
	 * Handles a heartbeat whose digest differs from this table's.
	 * @param peer the peer
	 */
	void digestDiffers(VmId peer) {
		long now = this.clock.nanos();
		boolean settled = now - this.table.changedAt() > this.times.settleTime().toNanos()
				|| now - this.lastExchange > this.times.maxExchangeDelay().toNanos();
		if (settled && now - this.lastExchange >= this.times.exchangeInterval().toNanos()) {
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
	 * Compares digests, for one peer at a time. A daemon that has just started receives
	 * digests from several peers, and each of them would send it the whole table.
	 * @param peer the peer
	 * @param remote its digests
	 */
	private void compare(VmId peer, Digests remote) {
		long now = this.clock.nanos();
		if (now - this.lastComparison < this.times.exchangeInterval().toNanos()) {
			return;
		}
		this.lastComparison = now;
		Set<DataCentre> all = new HashSet<>(remote.byDataCentre().keySet());
		all.addAll(this.table.digests().keySet());
		for (DataCentre dataCentre : all) {
			Long local = this.table.digests().get(dataCentre);
			if (local == null || !local.equals(remote.byDataCentre().get(dataCentre))) {
				List<MemberSummary> summaries = inDataCentre(dataCentre).stream().map(MemberSummary::of).toList();
				this.network.send(peer, new Summaries(dataCentre, summaries));
			}
		}
	}

	private void reconcile(VmId peer, Summaries remote) {
		Map<VmId, MemberSummary> byVm = new HashMap<>();
		remote.members().forEach((summary) -> byVm.put(summary.vm(), summary));
		List<MemberEntry> newer = new ArrayList<>();
		for (MemberEntry local : inDataCentre(remote.dataCentre())) {
			MemberSummary remoteSummary = byVm.get(local.vm());
			boolean missing = remoteSummary == null && local.health() != Health.DEAD;
			if (missing || (remoteSummary != null && supersedes(MemberSummary.of(local), remoteSummary))) {
				newer.add(local);
			}
		}
		send(peer, newer);
		List<VmId> wanted = remote.members().stream().filter(this::isOutdatedBy).map(MemberSummary::vm).toList();
		if (!wanted.isEmpty()) {
			this.network.send(peer, new Wanted(wanted));
		}
	}

	private boolean isOutdatedBy(MemberSummary remote) {
		Optional<MemberEntry> local = this.table.get(remote.vm());
		return local.map((entry) -> supersedes(remote, MemberSummary.of(entry))).orElse(remote.health() != Health.DEAD);
	}

	/**
	 * Whether merging one summary into another would change the other.
	 * @param candidate the summary to merge
	 * @param current the summary merged into
	 * @return true if the merge would change it
	 */
	private static boolean supersedes(MemberSummary candidate, MemberSummary current) {
		if (candidate.start() != current.start()) {
			return candidate.start() > current.start();
		}
		if (candidate.leaving() && !current.leaving()) {
			return true;
		}
		return (candidate.version() != current.version()) ? candidate.version() > current.version()
				: candidate.health().compareTo(current.health()) > 0;
	}

	private List<MemberEntry> inDataCentre(DataCentre dataCentre) {
		return this.table.all().stream().filter((entry) -> entry.identity().dataCentre().equals(dataCentre)).toList();
	}

	private List<MemberEntry> entries(List<VmId> vms) {
		return vms.stream().map(this.table::get).flatMap(Optional::stream).toList();
	}

}
