package org.bramleyscale.internal.membership;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;

/**
 * Takes heartbeats and claims from peers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class Receiver {

	private final MemberTable table;

	private final Claims claims;

	private final DataCentreSilences silences;

	private final TableExchange exchange;

	private final FailureDetector detector;

	private final PeerNetwork network;

	private final DataCentre own;

	Receiver(MemberTable table, Claims claims, DataCentreSilences silences, TableExchange exchange,
			FailureDetector detector, PeerNetwork network, DataCentre own) {
		this.table = table;
		this.claims = claims;
		this.silences = silences;
		this.exchange = exchange;
		this.detector = detector;
		this.network = network;
		this.own = own;
		network.listen(Heartbeat.class, this::heartbeat);
		network.listen(Entries.class, this::entries);
	}

	private void heartbeat(Incarnation from, Heartbeat heartbeat) {
		Optional<MemberEntry> known = this.table.get(from.vm());
		if (known.isEmpty() || known.get().incarnation().start() < from.start()) {
			this.network.send(from.vm(), new Wanted(List.of(from.vm())));
			return;
		}
		if (!known.get().incarnation().equals(from)) {
			return;
		}
		heard(known.get());
		takeWord(known.get(), heartbeat);
		if (heartbeat.digest() != this.table.digest()) {
			this.exchange.differs(from.vm());
		}
		if (isNear(known.get()) && heartbeat.silences() != this.silences.digest()) {
			this.network.send(from.vm(), new Entries(List.of(), this.silences.claims()));
		}
	}

	/**
	 * Takes what a heartbeat says of its sender, and tells a sender that is held to be
	 * suspect or dead, so that it can refute.
	 * @param known the sender's entry
	 * @param heartbeat the heartbeat
	 */
	private void takeWord(MemberEntry known, Heartbeat heartbeat) {
		this.claims.take(new MemberEntry(known.identity(), heartbeat.version(), Health.ALIVE, heartbeat.leaving()));
		MemberEntry held = this.table.get(known.vm()).orElseThrow();
		if (held.health() != Health.ALIVE || (held.leaving() && !heartbeat.leaving())) {
			this.network.send(held.vm(), new Entries(List.of(held), List.of()));
		}
	}

	private void entries(Incarnation from, Entries message) {
		message.members().forEach(this.claims::take);
		Optional<MemberEntry> sender = this.table.get(from.vm());
		sender.filter((entry) -> entry.incarnation().equals(from)).ifPresent(this::heard);
		this.claims.takeSilences(message.silences());
		boolean aboutSilences = message.members().isEmpty();
		if (aboutSilences && sender.filter(this::isNear).isPresent()) {
			answerSilences(from.vm(), message.silences());
		}
	}

	private void answerSilences(VmId peer, List<DataCentreSilence> theirs) {
		List<DataCentreSilence> ours = this.silences.claims();
		if (!theirs.containsAll(ours)) {
			this.network.send(peer, new Entries(List.of(), ours));
		}
	}

	private void heard(MemberEntry entry) {
		this.detector.heard(entry.vm());
		if (!isNear(entry)) {
			this.silences.heard(entry.identity().dataCentre());
		}
	}

	private boolean isNear(MemberEntry entry) {
		return entry.identity().dataCentre().equals(this.own);
	}

}
