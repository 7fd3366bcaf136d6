package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * The members as other slices see them, worked out once per change.
 *
 * <p>
 * Invariant: listeners are called only after what they read has changed. Confined to the
 * scheduler's thread.
 */
final class ViewCache implements MemberHistory {

	private final MemberTable table;

	private final DataCentreSilences silences;

	private final DataCentre own;

	private final Duration unheard;

	private final List<Runnable> listeners = new ArrayList<>();

	private List<Member> members = List.of();

	private List<Member> eligible = List.of();

	private boolean stale = true;

	/**
	 * Makes the view.
	 * @param table the members
	 * @param silences the silent data centres
	 * @param own the own data centre
	 * @param unheard how long somebody isn't heard before being suspected
	 */
	ViewCache(MemberTable table, DataCentreSilences silences, DataCentre own, Duration unheard) {
		this.table = table;
		this.silences = silences;
		this.own = own;
		this.unheard = unheard;
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
	public boolean endedByPlan(VmId vm) {
		return this.table.get(vm).filter((entry) -> entry.leaving() && entry.health() == Health.DEAD).isPresent();
	}

	@Override
	public Duration silence(VmId vm) {
		Duration own = this.table.silence(vm);
		Duration ofDataCentre = this.table.get(vm)
			.map((entry) -> entry.identity().dataCentre())
			.filter((dataCentre) -> !dataCentre.equals(this.own))
			.map(this.silences::silence)
			.orElse(Duration.ZERO);
		Duration longer = (own.compareTo(ofDataCentre) >= 0) ? own : ofDataCentre;
		return longer.isZero() ? longer : longer.plus(this.unheard);
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
		boolean farAndSilent = !dataCentre.equals(this.own) && this.silences.silent(dataCentre);
		return (entry.health() == Health.SUSPECT || farAndSilent) ? Member.State.SUSPECT : Member.State.ALIVE;
	}

}
