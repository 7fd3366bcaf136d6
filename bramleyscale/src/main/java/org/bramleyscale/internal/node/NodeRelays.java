package org.bramleyscale.internal.node;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Relays;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;

/**
 * The daemons that carry configuration between data centres: membership's relays, since
 * only these keep connections with other data centres.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class NodeRelays implements Relays {

	private final MembershipService membership;

	NodeRelays(MembershipService membership) {
		this.membership = membership;
	}

	@Override
	public boolean isRelay() {
		return this.membership.isRelay();
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
		List<VmId> all = new ArrayList<>(this.membership.relays());
		if (isRelay()) {
			all.addAll(this.membership.remoteRelays());
		}
		all.remove(self());
		return all;
	}

	@Override
	public int members() {
		return this.membership.expectedDaemonCount();
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

}
