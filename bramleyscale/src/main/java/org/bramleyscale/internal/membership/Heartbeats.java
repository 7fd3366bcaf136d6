package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerNetwork;

/**
 * Selects the recipients of this daemon's heartbeats and sends them.
 *
 * <p>
 * Invariant: the number of heartbeats sent doesn't grow with the size of the data centre;
 * only that of relays grows with the number of data centres. Confined to the scheduler's
 * thread.
 */
final class Heartbeats {

	private static final int REMOTE_EVERY_ROUNDS = 2;

	private final MemberTable table;

	private final DataCentreStatuses dataCentres;

	private final Topology topology;

	private final Relays relays;

	private final PeerNetwork network;

	private final RandomGenerator random;

	private final PeerIdentity self;

	private long rounds;

	Heartbeats(MemberTable table, DataCentreStatuses dataCentres, Topology topology, Relays relays, PeerNetwork network,
			RandomGenerator random, PeerIdentity self) {
		this.table = table;
		this.dataCentres = dataCentres;
		this.topology = topology;
		this.relays = relays;
		this.network = network;
		this.random = random;
		this.self = self;
	}

	/**
	 * Sends one round of heartbeats.
	 */
	void send() {
		this.rounds++;
		Set<VmId> targets = localTargets();
		if (this.relays.isRelay()) {
			Set<VmId> connected = this.network.connected();
			this.topology.dialCandidates().stream().filter(connected::contains).forEach(targets::add);
			if (this.rounds % REMOTE_EVERY_ROUNDS == 0) {
				targets.addAll(this.relays.remote());
			}
		}
		sendTo(targets);
	}

	/**
	 * Returns the successors and one more connected member of the local data centre, so
	 * that digests also travel across the rings.
	 * @return a new set, sorted by name
	 */
	Set<VmId> localTargets() {
		Set<VmId> targets = new TreeSet<>(Comparator.comparing(VmId::value));
		targets.addAll(this.topology.neighbours().successors());
		Set<VmId> connected = this.network.connected();
		List<VmId> others = new ArrayList<>();
		for (MemberEntry entry : this.table.present(this.self.dataCentre())) {
			if (connected.contains(entry.vm()) && !targets.contains(entry.vm())) {
				others.add(entry.vm());
			}
		}
		others.remove(this.self.incarnation().vm());
		if (!others.isEmpty()) {
			targets.add(others.get(this.random.nextInt(others.size())));
		}
		return targets;
	}

	/**
	 * Returns the recipients outside the local data centre.
	 * @return the relays of the other data centres if this daemon is a relay, otherwise
	 * none
	 */
	Set<VmId> remoteTargets() {
		return this.relays.isRelay() ? this.relays.remote() : Set.of();
	}

	private void sendTo(Set<VmId> targets) {
		MemberEntry ownEntry = this.table.get(this.self.incarnation().vm()).orElseThrow();
		Heartbeat heartbeat = new Heartbeat(ownEntry.version(), ownEntry.leaving(), this.table.digest(),
				this.dataCentres.digest());
		targets.forEach((target) -> this.network.send(target, heartbeat));
	}

}
