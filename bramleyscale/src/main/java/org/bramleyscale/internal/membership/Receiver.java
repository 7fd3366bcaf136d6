package org.bramleyscale.internal.membership;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.peer.PeerNetwork;

/**
 * Handles heartbeats and claims received from peers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class Receiver {

	private final MemberTable table;

	private final Claims claims;

	private final DataCentreStatuses dataCentres;

	private final TableExchange exchange;

	private final FailureDetector detector;

	private final PeerNetwork network;

	private final DataCentre localDataCentre;

	Receiver(MemberTable table, Claims claims, DataCentreStatuses dataCentres, TableExchange exchange,
			FailureDetector detector, PeerNetwork network, DataCentre localDataCentre) {
		this.table = table;
		this.claims = claims;
		this.dataCentres = dataCentres;
		this.exchange = exchange;
		this.detector = detector;
		this.network = network;
		this.localDataCentre = localDataCentre;
		network.listen(Heartbeat.class, this::onHeartbeat);
		network.listen(Entries.class, this::onEntries);
	}

	private void onHeartbeat(Incarnation from, Heartbeat heartbeat) {
		Optional<MemberEntry> known = this.table.get(from.vm());
		if (known.isEmpty() || known.get().incarnation().start() < from.start()) {
			this.network.send(from.vm(), new Wanted(List.of(from.vm())));
			return;
		}
		if (!known.get().incarnation().equals(from)) {
			return;
		}
		recordContact(known.get());
		this.claims
			.apply(new MemberEntry(known.get().identity(), heartbeat.version(), Health.ALIVE, heartbeat.leaving()));
		if (heartbeat.digest() != this.table.digest()) {
			this.exchange.digestDiffers(from.vm());
		}
		if (isLocal(known.get()) && heartbeat.dataCentresDigest() != this.dataCentres.digest()) {
			this.network.send(from.vm(), new Entries(List.of(), this.dataCentres.claims()));
		}
	}

	private void onEntries(Incarnation from, Entries message) {
		message.members().forEach(this.claims::apply);
		Optional<MemberEntry> sender = this.table.get(from.vm());
		sender.filter((entry) -> entry.incarnation().equals(from)).ifPresent(this::recordContact);
		this.claims.applyDataCentreStatuses(message.dataCentres());
	}

	private void recordContact(MemberEntry entry) {
		this.detector.recordContact(entry.vm());
		if (!isLocal(entry)) {
			this.dataCentres.recordContact(entry.identity().dataCentre());
		}
	}

	private boolean isLocal(MemberEntry entry) {
		return entry.identity().dataCentre().equals(this.localDataCentre);
	}

}
