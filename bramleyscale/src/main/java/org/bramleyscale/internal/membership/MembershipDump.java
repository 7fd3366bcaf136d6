package org.bramleyscale.internal.membership;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * Membership in the state dump.
 *
 * @param self this daemon
 * @param relay whether it is a relay of its data centre
 * @param counts how many members there are of each state
 * @param expected whom heartbeats are expected from
 * @param silentDataCentres the data centres not heard
 * @param members the first hundred members
 */
record MembershipDump(String self, boolean relay, Map<Member.State, Integer> counts, List<String> expected,
		List<String> silentDataCentres, List<Line> members) {

	private static final int DUMPED_MEMBERS = 100;

	static MembershipDump of(MembershipView view, Relays relays, Topology topology, DataCentreSilences silences) {
		Map<Member.State, Integer> counts = new EnumMap<>(Member.State.class);
		view.members().forEach((member) -> counts.merge(member.state(), 1, Integer::sum));
		List<String> expected = topology.neighbours().predecessors().stream().map(VmId::value).toList();
		List<String> silent = silences.claims()
			.stream()
			.filter(DataCentreSilence::silent)
			.map(DataCentreSilence::target)
			.map(DataCentre::value)
			.toList();
		List<Line> lines = view.members().stream().limit(DUMPED_MEMBERS).map(Line::of).toList();
		return new MembershipDump(view.self().toString(), relays.isRelay(), counts, expected, silent, lines);
	}

	/**
	 * One member.
	 *
	 * @param incarnation its VM and start
	 * @param dataCentre where it runs
	 * @param peerAddress where it listens for peers
	 * @param state what is known of it
	 */
	record Line(String incarnation, String dataCentre, String peerAddress, Member.State state) {

		private static Line of(Member member) {
			return new Line(member.incarnation().toString(), member.dataCentre().value(), member.peerAddress(),
					member.state());
		}

	}

}
