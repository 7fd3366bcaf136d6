package org.bramleyscale.internal.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.peer.PeerDirectory;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.Clock;

/**
 * Determines the peers to which this daemon keeps connections.
 *
 * <p>
 * These are all members of a small data centre, the neighbours in a large one and, if
 * this daemon is a relay, the relays of the other data centres. Relays also dial listed
 * VMs that are not yet members or are considered dead, since no other daemon would
 * discover that they work. Confined to the scheduler's thread.
 */
final class Topology implements PeerDirectory {

	private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::value);

	private static final int MAX_LOCAL_CANDIDATES = 8;

	private static final long ROTATION_NANOS = 10_000_000_000L;

	private final MemberTable table;

	private final Relays relays;

	private final PlatformList list;

	private final VmId self;

	private final DataCentre localDataCentre;

	private final int meshLimit;

	private final Clock clock;

	private final RendezvousHash<VmId> hash = new RendezvousHash<>(VmId::value);

	private Neighbours neighbours = new Neighbours(Set.of(), Set.of());

	private long computedFor = -1;

	Topology(MemberTable table, Relays relays, PlatformList list, MembershipSettings settings, Clock clock) {
		this.table = table;
		this.relays = relays;
		this.list = list;
		this.self = settings.identity().incarnation().vm();
		this.localDataCentre = settings.identity().dataCentre();
		this.meshLimit = settings.meshLimit();
		this.clock = clock;
	}

	Neighbours neighbours() {
		if (this.computedFor != this.table.changes()) {
			this.computedFor = this.table.changes();
			this.neighbours = Neighbours.of(this.self,
					this.table.present(this.localDataCentre).stream().map(MemberEntry::vm).toList());
		}
		return this.neighbours;
	}

	@Override
	public Set<VmId> desiredPeers() {
		Set<VmId> desired = new TreeSet<>(BY_NAME);
		List<MemberEntry> present = this.table.present(this.localDataCentre);
		if (present.size() <= this.meshLimit) {
			present.forEach((entry) -> desired.add(entry.vm()));
		}
		else {
			desired.addAll(neighbours().successors());
			desired.addAll(neighbours().predecessors());
		}
		if (this.relays.isRelay()) {
			desired.addAll(this.relays.remote());
			desired.addAll(dialCandidates());
		}
		desired.remove(this.self);
		return desired;
	}

	@Override
	public Optional<String> address(VmId vm) {
		return this.table.get(vm)
			.map((entry) -> entry.identity().peerAddress())
			.or(() -> this.list.record(vm).map(VmRecord::peerAddress));
	}

	/**
	 * Returns the VMs that a relay should dial although they aren't present members.
	 * @return a few listed VMs of the local data centre that are unknown or considered
	 * dead, and a few of each data centre without present members
	 */
	Set<VmId> dialCandidates() {
		Set<VmId> candidates = new TreeSet<>(BY_NAME);
		List<VmId> absent = this.list.vmsIn(this.localDataCentre).stream().filter((vm) -> !isPresent(vm)).toList();
		candidates.addAll(this.hash.first(rotationKey(), absent, MAX_LOCAL_CANDIDATES));
		for (DataCentre other : this.list.dataCentres()) {
			if (!other.equals(this.localDataCentre) && this.relays.of(other).isEmpty()) {
				candidates.addAll(this.hash.first(rotationKey(), this.list.vmsIn(other), Relays.RELAYS));
			}
		}
		candidates.remove(this.self);
		return candidates;
	}

	/**
	 * Returns a key that changes the ranking of VMs every few seconds. A daemon that
	 * starts in a large data centre knows no members; it should neither dial all VMs nor
	 * retry the same few forever if these are down.
	 * @return the key
	 */
	private String rotationKey() {
		return this.self.value() + this.clock.nanos() / ROTATION_NANOS;
	}

	private boolean isPresent(VmId vm) {
		return this.table.get(vm).filter((entry) -> entry.health() != Health.DEAD).isPresent();
	}

}
