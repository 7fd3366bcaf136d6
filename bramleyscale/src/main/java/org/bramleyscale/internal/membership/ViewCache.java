package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * Caches the members as the other packages see them, computed once per change.
 *
 * <p>
 * Invariant: listeners are called only after the view that they read has changed.
 * Confined to the scheduler's thread.
 */
final class ViewCache implements MemberHistory {

	private final MemberTable table;

	private final DataCentreStatuses dataCentres;

	private final DataCentre localDataCentre;

	private final Duration detectionDelay;

	private final List<Runnable> listeners = new ArrayList<>();

	private List<Member> members = List.of();

	private List<Member> eligible = List.of();

	private boolean stale = true;

	/**
	 * Creates an instance.
	 * @param table the members
	 * @param dataCentres the claims about other data centres
	 * @param localDataCentre the data centre of this daemon
	 * @param detectionDelay for how long heartbeats are missing before a member is
	 * suspected
	 */
	ViewCache(MemberTable table, DataCentreStatuses dataCentres, DataCentre localDataCentre, Duration detectionDelay) {
		this.table = table;
		this.dataCentres = dataCentres;
		this.localDataCentre = localDataCentre;
		this.detectionDelay = detectionDelay;
	}

	void onChange(Runnable listener) {
		this.listeners.add(listener);
	}

	void changed() {
		this.stale = true;
		this.listeners.forEach(Runnable::run);
	}

	List<Member> members() {
		refresh();
		return this.members;
	}

	List<Member> eligible() {
		refresh();
		return this.eligible;
	}

	Optional<Member> member(VmId vm) {
		return this.table.get(vm).map(this::member);
	}

	@Override
	public boolean endedAfterPlannedStop(VmId vm) {
		return this.table.get(vm).filter((entry) -> entry.leaving() && entry.health() == Health.DEAD).isPresent();
	}

	@Override
	public Duration unresponsiveFor(VmId vm) {
		Duration memberTime = this.table.unresponsiveFor(vm);
		Duration dataCentreTime = this.table.get(vm)
			.map((entry) -> entry.identity().dataCentre())
			.filter((dataCentre) -> !dataCentre.equals(this.localDataCentre))
			.map(this.dataCentres::unresponsiveFor)
			.orElse(Duration.ZERO);
		Duration longer = (memberTime.compareTo(dataCentreTime) >= 0) ? memberTime : dataCentreTime;
		return longer.isZero() ? longer : longer.plus(this.detectionDelay);
	}

	private void refresh() {
		if (this.stale) {
			this.members = this.table.all().stream().map(this::member).toList();
			this.eligible = this.members.stream()
				.filter((member) -> member.state().compareTo(Member.State.LEAVING) < 0)
				.toList();
			this.stale = false;
		}
	}

	private Member member(MemberEntry entry) {
		return new Member(entry.incarnation(), entry.identity().dataCentre(), entry.identity().peerAddress(),
				entry.identity().httpAddress(), state(entry), entry.identity().capacity());
	}

	private Member.State state(MemberEntry entry) {
		if (entry.health() == Health.DEAD) {
			return Member.State.DEAD;
		}
		if (entry.leaving()) {
			return Member.State.LEAVING;
		}
		DataCentre dataCentre = entry.identity().dataCentre();
		boolean inUnresponsiveDataCentre = !dataCentre.equals(this.localDataCentre)
				&& this.dataCentres.isUnresponsive(dataCentre);
		return (entry.health() == Health.SUSPECT || inUnresponsiveDataCentre) ? Member.State.SUSPECT
				: Member.State.ALIVE;
	}

}
