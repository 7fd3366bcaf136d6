package org.bramleyscale.internal.membership;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * The part of the state dump that describes membership.
 *
 * @param self this daemon
 * @param relay whether it is a relay of its data centre
 * @param counts the number of members in each state
 * @param expected the members from which heartbeats are expected
 * @param silentDataCentres the unresponsive data centres
 * @param members the first hundred members
 */
record MembershipDump(String self, boolean relay, Map<Member.State, Integer> counts, List<String> expected,
		List<String> silentDataCentres, List<Line> members) {

	private static final int MAX_MEMBERS = 100;

	static MembershipDump of(MembershipView view, Relays relays, Topology topology, DataCentreStatuses dataCentres) {
		Map<Member.State, Integer> counts = new EnumMap<>(Member.State.class);
		view.members().forEach((member) -> counts.merge(member.state(), 1, Integer::sum));
		List<String> expected = topology.neighbours().predecessors().stream().map(VmId::value).toList();
		List<String> unresponsive = dataCentres.claims()
			.stream()
			.filter(DataCentreStatus::unresponsive)
			.map(DataCentreStatus::target)
			.map(DataCentre::value)
			.toList();
		List<Line> lines = view.members().stream().limit(MAX_MEMBERS).map(Line::of).toList();
		return new MembershipDump(view.self().toString(), relays.isRelay(), counts, expected, unresponsive, lines);
	}

	/**
	 * One member.
	 *
	 * @param incarnation its VM and start
	 * @param dataCentre the data centre in which it runs
	 * @param peerAddress the address on which it listens for peers
	 * @param state its state
	 */
	record Line(String incarnation, String dataCentre, String peerAddress, Member.State state) {

		private static Line of(Member member) {
			return new Line(member.incarnation().toString(), member.dataCentre().value(), member.peerAddress(),
					member.state());
		}

	}

}
