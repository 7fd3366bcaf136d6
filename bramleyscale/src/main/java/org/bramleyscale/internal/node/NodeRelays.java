package org.bramleyscale.internal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.configuration.Relays;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;

/**
 * The daemons that carry configuration between data centres, chosen by rendezvous hashing
 * over the members.
 *
 * <p>
 * Invariant: daemons with the same view of the members choose the same relays, so nobody
 * has to be appointed. Confined to the scheduler's thread.
 */
final class NodeRelays implements Relays {

	private static final int RELAYS_PER_DATA_CENTRE = 2;

	private static final String KEY = "configuration-relay";

	private static final RendezvousHash<VmId> HASH = new RendezvousHash<>(VmId::value);

	private final MembershipService membership;

	NodeRelays(MembershipService membership) {
		this.membership = membership;
	}

	@Override
	public boolean isRelay() {
		return relays(this.membership.dataCentre()).contains(self());
	}

	@Override
	public List<VmId> localPeers() {
		return this.membership.members()
			.stream()
			.filter((member) -> member.dataCentre().equals(this.membership.dataCentre()))
			.filter((member) -> member.state() != Member.State.DEAD)
			.map(Member::vm)
			.filter((vm) -> !vm.equals(self()))
			.toList();
	}

	@Override
	public List<VmId> otherRelays() {
		List<VmId> own = relays(this.membership.dataCentre());
		List<VmId> all = new ArrayList<>(own);
		if (own.contains(self())) {
			dataCentres().keySet()
				.stream()
				.filter((dataCentre) -> !dataCentre.equals(this.membership.dataCentre().value()))
				.forEach((dataCentre) -> all.addAll(relays(new DataCentre(dataCentre))));
		}
		all.remove(self());
		return all;
	}

	@Override
	public int members() {
		return this.membership.expected();
	}

	@Override
	public int heard() {
		return (int) this.membership.members()
			.stream()
			.filter((member) -> member.state() == Member.State.ALIVE || member.state() == Member.State.LEAVING)
			.count();
	}

	private VmId self() {
		return this.membership.self().vm();
	}

	private List<VmId> relays(DataCentre dataCentre) {
		List<VmId> candidates = dataCentres().getOrDefault(dataCentre.value(), List.of());
		return HASH.first(KEY, candidates, RELAYS_PER_DATA_CENTRE);
	}

	private Map<String, List<VmId>> dataCentres() {
		Map<String, List<VmId>> byDataCentre = new TreeMap<>();
		for (Member member : this.membership.eligible()) {
			byDataCentre.computeIfAbsent(member.dataCentre().value(), (name) -> new ArrayList<>()).add(member.vm());
		}
		return byDataCentre;
	}

}
