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
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.limit.LimitHolders;
import org.bramleyscale.internal.gateway.load.LoadTopology;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.peer.PeerDirectory;

/**
 * Determines the peers with which a daemon that relays requests keeps connections.
 *
 * <p>
 * In a small fleet these are all daemons, since all of them send to the same endpoints
 * and need each other's load there. In a large one they are those that membership
 * desires, and relays are connected to each other and to the other daemons of their data
 * centre. Confined to the scheduler's thread.
 */
final class FleetDirectory implements PeerDirectory, LoadTopology, UpdateRoutes, LimitHolders {

	/**
	 * The most daemons that form a full mesh. At this size each sends 230 load updates a
	 * second, 3 % of a core at 0.1 ms each.
	 */
	static final int MAX_MESH_SIZE = 24;

	private static final RendezvousHash<VmId> HASH = new RendezvousHash<>(VmId::value);

	private final MembershipService membership;

	FleetDirectory(MembershipService membership) {
		this.membership = membership;
	}

	@Override
	public Set<VmId> desiredPeers() {
		Set<VmId> desired = sortedByName(this.membership.directory().desiredPeers());
		if (flat()) {
			notDead().forEach((member) -> desired.add(member.vm()));
		}
		else {
			desired.addAll(this.membership.relays());
			if (isRelay()) {
				desired.addAll(members());
			}
		}
		desired.remove(this.membership.self().vm());
		return desired;
	}

	@Override
	public boolean flat() {
		return this.membership.members().size() <= MAX_MESH_SIZE;
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
	public Collection<VmId> members() {
		return others(notDead().filter((member) -> member.dataCentre().equals(this.membership.dataCentre())));
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
	public Collection<VmId> originRecipients() {
		if (flat()) {
			return others(notDead());
		}
		return isRelay() ? relayTargets(members()) : relays();
	}

	/**
	 * {@inheritDoc} An update from another data centre was sent by a relay there, which
	 * sends it to the other relays itself.
	 */
	@Override
	public Collection<VmId> forwardRecipients(VmId from) {
		if (flat() || !isRelay()) {
			return List.of();
		}
		List<VmId> members = new ArrayList<>(members());
		members.remove(from);
		boolean fromOwnDataCentre = dataCentre(from).equals(this.membership.dataCentre().value());
		return fromOwnDataCentre ? relayTargets(members) : members;
	}

	private Collection<VmId> relayTargets(Collection<VmId> members) {
		List<VmId> targets = new ArrayList<>(members);
		targets.addAll(remoteRelays());
		return targets;
	}

	/**
	 * Returns how entry daemons are selected.
	 * @return the selection, by the current relays
	 */
	EntrySelection entrySelection() {
		return new EntrySelection(flat(), allRelays());
	}

	/**
	 * {@inheritDoc} Callers use the largest daemons, in a large fleet the relays.
	 */
	@Override
	public int rank(EndpointStart endpoint) {
		int rank = HASH.ranked(endpoint.toString(), entryCandidates()).indexOf(this.membership.self().vm());
		return (rank < 0) ? NO_RANK : rank;
	}

	/**
	 * The daemons that callers use: the largest, in a large fleet those of the relays.
	 * @return their VMs, sorted by name
	 */
	List<VmId> entryCandidates() {
		Set<VmId> relays = flat() ? Set.of() : allRelays();
		List<Member> candidates = this.membership.members()
			.stream()
			.filter((member) -> member.state() == Member.State.ALIVE)
			.filter((member) -> relays.isEmpty() || relays.contains(member.vm()))
			.toList();
		int largest = candidates.stream().mapToInt((member) -> member.capacity().sizeClass()).max().orElse(0);
		return candidates.stream()
			.filter((member) -> member.capacity().sizeClass() == largest)
			.map(Member::vm)
			.toList();
	}

	/**
	 * The number of daemons of a small fleet that callers would use if all responded.
	 * @return the number, including those that are dead
	 */
	int possibleEntryCount() {
		int entrySizeClass = entryCandidates().stream().mapToInt(this::sizeClass).min().orElse(0);
		return (int) this.membership.members()
			.stream()
			.filter((member) -> member.capacity().sizeClass() >= entrySizeClass)
			.count();
	}

	/**
	 * The number of data centres in which daemons are known, whether they respond or not.
	 * @return the number
	 */
	int dataCentreCount() {
		return (int) this.membership.members().stream().map(Member::dataCentre).distinct().count();
	}

	private Set<VmId> allRelays() {
		Set<VmId> relays = sortedByName(this.membership.relays());
		relays.addAll(this.membership.remoteRelays());
		return relays;
	}

	/**
	 * The rank of this daemon in the order in which daemons query the store: relays
	 * first, since they reach all others in the fewest hops, sorted by size class from
	 * the largest, in an order that is the same on all of them; then the other daemons,
	 * those of different data centres in parallel.
	 * @return 0 for the first
	 */
	int storeRank() {
		VmId self = this.membership.self().vm();
		Set<VmId> relays = allRelays();
		if (relays.contains(self)) {
			return relays.stream().sorted(Comparator.comparingInt(this::sizeClass).reversed()).toList().indexOf(self);
		}
		long before = members().stream().filter((vm) -> vm.value().compareTo(self.value()) < 0).count();
		return relays.size() + (int) before;
	}

	private int sizeClass(VmId vm) {
		return this.membership.member(vm).map((member) -> member.capacity().sizeClass()).orElse(0);
	}

	private static Set<VmId> sortedByName(Collection<VmId> vms) {
		Set<VmId> sorted = new TreeSet<>(Comparator.comparing(VmId::value));
		sorted.addAll(vms);
		return sorted;
	}

	private Collection<VmId> others(Stream<Member> members) {
		return members.map(Member::vm).filter((vm) -> !vm.equals(this.membership.self().vm())).toList();
	}

	private Stream<Member> notDead() {
		return this.membership.members().stream().filter((member) -> member.state() != Member.State.DEAD);
	}

	@Override
	public Optional<String> address(VmId vm) {
		return this.membership.directory().address(vm);
	}

}
