package org.bramleyscale.internal.membership;

import java.util.List;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.jboss.logging.Logger;

/**
 * Takes claims from wherever they come and lets the rest of the slice know what changed.
 *
 * <p>
 * Invariants: a claim that changes nothing is neither pushed on nor reported; a claim
 * that this daemon itself isn't alive is refuted at once. Confined to the scheduler's
 * thread.
 */
final class Claims implements FailureDetector.Verdicts {

	private static final Logger logger = Logger.getLogger(Claims.class);

	private final MemberTable table;

	private final DataCentreSilences silences;

	private final Rumours rumours;

	private final ViewCache view;

	private final Incarnation self;

	private final Runnable leaveListener;

	private final Counter suspected;

	private final Counter declaredDead;

	private final Counter refuted;

	/**
	 * Makes the taker of claims.
	 * @param table the claims about members
	 * @param silences the claims about data centres
	 * @param rumours pushes changed claims on
	 * @param view tells listeners
	 * @param self this daemon
	 * @param leaveListener called when this daemon's own entry becomes leaving or a later
	 * start of this VM is seen
	 * @param metrics where verdicts are counted
	 */
	Claims(MemberTable table, DataCentreSilences silences, Rumours rumours, ViewCache view, Incarnation self,
			Runnable leaveListener, MetricRegistry metrics) {
		this.table = table;
		this.silences = silences;
		this.rumours = rumours;
		this.view = view;
		this.self = self;
		this.leaveListener = leaveListener;
		this.suspected = metrics.counter("membership.suspected");
		this.declaredDead = metrics.counter("membership.declared-dead");
		this.refuted = metrics.counter("membership.refuted");
	}

	/**
	 * Enters this daemon itself.
	 * @param identity who it is
	 */
	void enterSelf(PeerIdentity identity) {
		merge(new MemberEntry(identity, 0, Health.ALIVE, false));
	}

	void take(MemberEntry claim) {
		if (claim.vm().equals(this.self.vm())) {
			takeAboutSelf(claim);
		}
		else {
			merge(claim);
		}
	}

	void takeSilences(List<DataCentreSilence> claims) {
		boolean changed = false;
		for (DataCentreSilence claim : claims) {
			changed |= this.silences.merge(claim);
		}
		if (changed) {
			silencesChanged();
		}
	}

	void silencesChanged() {
		this.rumours.silencesChanged();
		this.view.changed();
	}

	void markLeaving(VmId vm) {
		this.table.get(vm).ifPresent((entry) -> take(entry.withLeaving()));
	}

	@Override
	public void suspect(Incarnation member) {
		claim(member, Health.SUSPECT, this.suspected);
	}

	@Override
	public void dead(Incarnation member) {
		claim(member, Health.DEAD, this.declaredDead);
	}

	private void claim(Incarnation member, Health health, Counter counter) {
		this.table.get(member.vm()).filter((entry) -> entry.incarnation().equals(member)).ifPresent((entry) -> {
			if (entry.health().compareTo(health) < 0) {
				counter.inc();
				logger.logf((health == Health.DEAD) ? Logger.Level.INFO : Logger.Level.DEBUG, "Member %s is %s", member,
						health);
				merge(entry.withHealth(health));
			}
		});
	}

	private void takeAboutSelf(MemberEntry claim) {
		MemberEntry own = this.table.get(this.self.vm()).orElseThrow();
		long start = claim.incarnation().start();
		if (start > this.self.start()) {
			logger.warnf("A later start of this VM was seen: %s", claim.incarnation());
			merge(claim);
			this.leaveListener.run();
		}
		if (!claim.incarnation().equals(this.self) || !own.incarnation().equals(this.self)) {
			return;
		}
		boolean refutes = claim.health() != Health.ALIVE && claim.version() >= own.version();
		if (refutes) {
			this.refuted.inc();
		}
		merge(refutes ? own.refuting(claim) : own.merge(claim));
		if (claim.leaving() && !own.leaving()) {
			this.leaveListener.run();
		}
	}

	private void merge(MemberEntry claim) {
		if (this.table.merge(claim)) {
			this.rumours.changed(claim.vm());
			this.view.changed();
		}
	}

}
