package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.limit.HolderFleet;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.time.Clock;

/**
 * The fleet as membership and the store's list show it, for the holders of cold
 * endpoints.
 *
 * <p>
 * Invariant: the number of registered daemons isn't known before the store's list has
 * been read. Membership reads it on relays only; the other daemons of a small fleet read
 * it once, if cold endpoints are limited. Confined to the scheduler's thread.
 */
final class NodeHolderFleet implements HolderFleet {

	/** The interval between attempts to read the list until one succeeds. */
	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

	/** The interval between reads: the list shrinks only if VMs are removed for good. */
	private static final Duration READ_INTERVAL = Duration.ofSeconds(30);

	private final Clock clock;

	private final MembershipService membership;

	private final FleetDirectory directory;

	private final RegisteredDaemons daemons;

	private int listed;

	private boolean attempted;

	private long attemptedAt;

	/**
	 * Creates the view.
	 * @param clock the daemon's clock
	 * @param membership the members
	 * @param directory determines the relays and the daemons that callers use
	 * @param daemons the platform's list
	 */
	NodeHolderFleet(Clock clock, MembershipService membership, FleetDirectory directory, RegisteredDaemons daemons) {
		this.clock = clock;
		this.membership = membership;
		this.directory = directory;
		this.daemons = daemons;
	}

	@Override
	public List<VmId> candidates() {
		return this.directory.entryCandidates();
	}

	/**
	 * {@inheritDoc} Registered daemons that membership doesn't know count as well.
	 */
	@Override
	public int possibleCandidates() {
		if (!this.directory.flat()) {
			return MembershipService.RELAYS_PER_DATA_CENTRE * this.directory.dataCentreCount();
		}
		int unknown = listedCount() - this.membership.members().size();
		return this.directory.possibleEntryCount() + Math.max(0, unknown);
	}

	/**
	 * {@inheritDoc} Membership knows daemons that registered after the list was read.
	 */
	@Override
	public int known() {
		return Math.max(listedCount(), this.membership.expectedDaemonCount());
	}

	@Override
	public int registered() {
		readList();
		return (listedCount() == 0) ? 0 : known();
	}

	private int listedCount() {
		return readElsewhere() ? this.daemons.count() : this.listed;
	}

	/**
	 * Whether membership reads the list on this daemon anyway.
	 * @return true in a large fleet and on relays
	 */
	private boolean readElsewhere() {
		return !this.directory.flat() || this.directory.isRelay();
	}

	private void readList() {
		long now = this.clock.nanos();
		Duration interval = (this.listed == 0) ? RETRY_INTERVAL : READ_INTERVAL;
		if (readElsewhere() || (this.attempted && now - this.attemptedAt < interval.toNanos())) {
			return;
		}
		this.attempted = true;
		this.attemptedAt = now;
		this.daemons.listCached(DaemonRecord.KIND).thenAccept((batch) -> this.listed = batch.changed().size());
	}

	/**
	 * {@inheritDoc} In a large fleet a relay of another data centre stands for the
	 * daemons registered there.
	 */
	@Override
	public int reached(Set<VmId> heard) {
		if (this.directory.flat()) {
			return 1 + heard.size();
		}
		String local = this.membership.dataCentre().value();
		Map<String, Long> byDataCentre = heard.stream()
			.map(this.directory::dataCentre)
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		int reached = 1;
		for (Map.Entry<String, Long> entry : byDataCentre.entrySet()) {
			int direct = entry.getValue().intValue();
			reached += entry.getKey().equals(local) ? direct : Math.max(direct, this.daemons.count(entry.getKey()));
		}
		return reached;
	}

}
