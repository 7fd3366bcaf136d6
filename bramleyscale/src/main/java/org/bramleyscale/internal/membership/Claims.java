package org.bramleyscale.internal.membership;

import java.util.List;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.jboss.logging.Logger;

/**
 * Applies claims from all sources and notifies the other parts of membership of changes.
 *
 * <p>
 * Invariants: a claim that changes nothing is neither gossiped nor reported; a claim that
 * this daemon itself isn't alive is refuted at once. Confined to the scheduler's thread.
 */
final class Claims implements FailureDetector.Listener {

	private static final Logger logger = Logger.getLogger(Claims.class);

	private final MemberTable table;

	private final DataCentreStatuses dataCentres;

	private final ClaimGossip gossip;

	private final ViewCache view;

	private final Incarnation self;

	private final Runnable leaveListener;

	private final Counter suspected;

	private final Counter declaredDead;

	private final Counter refuted;

	/**
	 * Creates an instance.
	 * @param table the claims about members
	 * @param dataCentres the claims about data centres
	 * @param gossip sends changed claims to other daemons
	 * @param view notified of each change
	 * @param self this daemon
	 * @param leaveListener called when this daemon's own entry becomes leaving or a later
	 * start of this VM is known
	 * @param metrics counts suspicions, declarations of death and refutations
	 */
	Claims(MemberTable table, DataCentreStatuses dataCentres, ClaimGossip gossip, ViewCache view, Incarnation self,
			Runnable leaveListener, MetricRegistry metrics) {
		this.table = table;
		this.dataCentres = dataCentres;
		this.gossip = gossip;
		this.view = view;
		this.self = self;
		this.leaveListener = leaveListener;
		this.suspected = metrics.counter("membership.suspected");
		this.declaredDead = metrics.counter("membership.declared-dead");
		this.refuted = metrics.counter("membership.refuted");
	}

	/**
	 * Adds this daemon to the table.
	 * @param identity this daemon's identity
	 */
	void addSelf(PeerIdentity identity) {
		merge(new MemberEntry(identity, 0, Health.ALIVE, false));
	}

	void apply(MemberEntry claim) {
		if (claim.vm().equals(this.self.vm())) {
			applyToSelf(claim);
		}
		else {
			merge(claim);
		}
	}

	void applyDataCentreStatuses(List<DataCentreStatus> claims) {
		boolean changed = false;
		for (DataCentreStatus claim : claims) {
			changed |= this.dataCentres.merge(claim);
		}
		if (changed) {
			dataCentresChanged();
		}
	}

	void dataCentresChanged() {
		this.gossip.dataCentresChanged();
		this.view.changed();
	}

	void markLeaving(VmId vm) {
		this.table.get(vm).ifPresent((entry) -> apply(entry.withLeaving()));
	}

	@Override
	public void suspect(Incarnation member) {
		declare(member, Health.SUSPECT, this.suspected);
	}

	@Override
	public void declareDead(Incarnation member) {
		declare(member, Health.DEAD, this.declaredDead);
	}

	private void declare(Incarnation member, Health health, Counter counter) {
		this.table.get(member.vm()).filter((entry) -> entry.incarnation().equals(member)).ifPresent((entry) -> {
			if (entry.health().compareTo(health) < 0) {
				counter.inc();
				logger.logf((health == Health.DEAD) ? Logger.Level.INFO : Logger.Level.DEBUG, "Member %s is %s", member,
						health);
				merge(entry.withHealth(health));
			}
		});
	}

	private void applyToSelf(MemberEntry claim) {
		MemberEntry ownEntry = this.table.get(this.self.vm()).orElseThrow();
		long start = claim.incarnation().start();
		if (start > this.self.start()) {
			logger.warnf("Received a claim about a later start of this VM: %s", claim.incarnation());
			merge(claim);
			this.leaveListener.run();
		}
		if (!claim.incarnation().equals(this.self) || !ownEntry.incarnation().equals(this.self)) {
			return;
		}
		boolean refutes = claim.health() != Health.ALIVE && claim.version() >= ownEntry.version();
		if (refutes) {
			this.refuted.inc();
		}
		merge(refutes ? ownEntry.refuting(claim) : ownEntry.merge(claim));
		if (claim.leaving() && !ownEntry.leaving()) {
			this.leaveListener.run();
		}
	}

	private void merge(MemberEntry claim) {
		if (this.table.merge(claim)) {
			this.gossip.memberChanged(claim.vm());
			this.view.changed();
		}
	}

}
