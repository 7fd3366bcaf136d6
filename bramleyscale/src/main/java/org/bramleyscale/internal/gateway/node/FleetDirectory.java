package org.bramleyscale.internal.gateway.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.gateway.limit.LimitHolders;
import org.bramleyscale.internal.gateway.load.LoadRoutes;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.peer.PeerDirectory;

/**
 * With whom a daemon that relays requests keeps connections.
 *
 * <p>
 * In a small fleet with every daemon, since all of them send to the same endpoints and
 * have to know each other's work there; in a large one with those that membership wants
 * and between the relays and the other daemons of a data centre. Confined to the
 * scheduler's thread.
 */
final class FleetDirectory implements PeerDirectory, LoadRoutes, NewsRoutes, LimitHolders {

	/**
	 * Up to so many daemons all connect with all. At this size each sends 230 tellings a
	 * second, 3 % of a core at 0.1 ms each.
	 */
	static final int LARGEST_MESH = 24;

	private static final RendezvousHash<VmId> HASH = new RendezvousHash<>(VmId::value);

	private final MembershipService membership;

	FleetDirectory(MembershipService membership) {
		this.membership = membership;
	}

	@Override
	public Set<VmId> wanted() {
		Set<VmId> wanted = byName(this.membership.directory().wanted());
		if (flat()) {
			present().forEach((member) -> wanted.add(member.vm()));
		}
		else {
			wanted.addAll(this.membership.relays());
			if (isRelay()) {
				wanted.addAll(near());
			}
		}
		wanted.remove(this.membership.self().vm());
		return wanted;
	}

	@Override
	public boolean flat() {
		return this.membership.members().size() <= LARGEST_MESH;
	}

	@Override
	public boolean isRelay() {
		return this.membership.isRelay();
	}

	@Override
	public Collection<VmId> relays() {
		List<VmId> others = new ArrayList<>(this.membership.relays());
		others.remove(this.membership.self().vm());
		return others;
	}

	@Override
	public Collection<VmId> near() {
		return others(present().filter((member) -> member.dataCentre().equals(this.membership.dataCentre())));
	}

	@Override
	public Collection<VmId> remoteRelays() {
		return this.membership.remoteRelays();
	}

	@Override
	public String dataCentre(VmId vm) {
		return this.membership.member(vm).map((member) -> member.dataCentre().value()).orElse("");
	}

	@Override
	public Collection<VmId> firstHand() {
		if (flat()) {
			return others(present());
		}
		return isRelay() ? passedOnByRelay(near()) : relays();
	}

	/**
	 * {@inheritDoc} What comes from another data centre came from a relay there, which
	 * tells the other relays itself.
	 */
	@Override
	public Collection<VmId> passedOn(VmId from) {
		if (flat() || !isRelay()) {
			return List.of();
		}
		List<VmId> near = new ArrayList<>(near());
		near.remove(from);
		boolean fromNear = dataCentre(from).equals(this.membership.dataCentre().value());
		return fromNear ? passedOnByRelay(near) : near;
	}

	private Collection<VmId> passedOnByRelay(Collection<VmId> near) {
		List<VmId> all = new ArrayList<>(near);
		all.addAll(remoteRelays());
		return all;
	}

	/**
	 * How callers' daemons are chosen.
	 * @return the choice, given who relays now
	 */
	EntrySelection entries() {
		return new EntrySelection(flat(), allRelays());
	}

	/**
	 * {@inheritDoc} Callers use the largest daemons, in a large fleet the relays.
	 */
	@Override
	public int rank(EndpointStart endpoint) {
		Set<VmId> relays = flat() ? Set.of() : allRelays();
		List<Member> used = this.membership.members()
			.stream()
			.filter((member) -> member.state() == Member.State.ALIVE)
			.filter((member) -> relays.isEmpty() || relays.contains(member.vm()))
			.toList();
		int largest = used.stream().mapToInt((member) -> member.capacity().sizeClass()).max().orElse(0);
		List<VmId> ranked = HASH.ranked(endpoint.toString(),
				used.stream().filter((member) -> member.capacity().sizeClass() == largest).map(Member::vm).toList());
		int rank = ranked.indexOf(this.membership.self().vm());
		return (rank < 0) ? NO_RANK : rank;
	}

	private Set<VmId> allRelays() {
		Set<VmId> relays = byName(this.membership.relays());
		relays.addAll(this.membership.remoteRelays());
		return relays;
	}

	/**
	 * This daemon's place among those that ask the store: relays first, since they reach
	 * all others in the fewest steps, the largest of them at the front, in an order that
	 * is the same for all of them; then the others, those of different data centres side
	 * by side.
	 * @return 0 for the first
	 */
	int storeRank() {
		VmId self = this.membership.self().vm();
		Set<VmId> relays = allRelays();
		if (relays.contains(self)) {
			return relays.stream().sorted(Comparator.comparingInt(this::sizeClass).reversed()).toList().indexOf(self);
		}
		long before = near().stream().filter((vm) -> vm.value().compareTo(self.value()) < 0).count();
		return relays.size() + (int) before;
	}

	private int sizeClass(VmId vm) {
		return this.membership.member(vm).map((member) -> member.capacity().sizeClass()).orElse(0);
	}

	private static Set<VmId> byName(Collection<VmId> vms) {
		Set<VmId> sorted = new TreeSet<>(Comparator.comparing(VmId::value));
		sorted.addAll(vms);
		return sorted;
	}

	private Collection<VmId> others(Stream<Member> members) {
		return members.map(Member::vm).filter((vm) -> !vm.equals(this.membership.self().vm())).toList();
	}

	private Stream<Member> present() {
		return this.membership.members().stream().filter((member) -> member.state() != Member.State.DEAD);
	}

	@Override
	public Optional<String> address(VmId vm) {
		return this.membership.directory().address(vm);
	}

}
