package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.jboss.logging.Logger;

/**
 * Pushes versions to other daemons and gives them what they ask for.
 *
 * <p>
 * A daemon that gets a version passes it on to a few others once. What a push misses, the
 * pings bring. Invariant: a delta is applied on exactly its base, and only if the result
 * has the announced hash. Confined to the scheduler's thread.
 */
final class ConfigurationSpread {

	private static final Logger logger = Logger.getLogger(ConfigurationSpread.class);

	/** To how many local daemons, and to how many relays, a version is passed on. */
	static final int FAN_OUT = 4;

	private static final String NO_PROPOSER = "";

	private final ConfigurationState state;

	private final PeerNetwork network;

	private final Relays relays;

	private final HoldersView holders;

	private final ConfigurationFetch fetch;

	private final Adopter adopter;

	private final ConfigurationMetrics metrics;

	private final RandomGenerator random;

	private final VmId self;

	private final int chunkBytes;

	ConfigurationSpread(ConfigurationState state, PeerNetwork network, Relays relays, HoldersView holders,
			ConfigurationFetch fetch, Adopter adopter, ConfigurationMetrics metrics, RandomGenerator random, VmId self,
			int chunkBytes) {
		this.state = state;
		this.network = network;
		this.relays = relays;
		this.holders = holders;
		this.fetch = fetch;
		this.adopter = adopter;
		this.metrics = metrics;
		this.random = random;
		this.self = self;
		this.chunkBytes = chunkBytes;
	}

	void start() {
		this.network.listen(ConfigurationDelta.class, this::received);
		this.network.listen(ConfigurationRequest.class, this::received);
		this.network.listen(ConfigurationChunk.class, this::received);
		this.network.listen(ConfigurationHeld.class,
				(from, message) -> this.holders.heard(from, message.version(), message.hash()));
	}

	/**
	 * Passes the held version on and tells its proposer that it is held here.
	 * @param earlier what was held before
	 * @param arrival how the held version came
	 */
	void passOn(Snapshot earlier, Arrival arrival) {
		Snapshot held = this.state.held();
		byte[] entries = ConfigurationCodec
			.encode(held.changesSince(earlier).stream().map(EncodedChange::forward).toList());
		String proposer = arrival.proposer().map(VmId::value).orElse(NO_PROPOSER);
		// A large change is only announced, and fetched in pieces that fit into frames;
		// so is
		// what was fetched across several versions, since few others are at its base.
		boolean small = entries.length <= this.chunkBytes && held.version() == earlier.version() + 1;
		PeerMessage message = small
				? new ConfigurationDelta(earlier.version(), held.version(), held.hash(), entries, proposer)
				: new ConfigurationPing(ConfigurationPing.NO_ANSWER, held.version(), held.hash());
		targets(arrival).forEach((target) -> this.network.send(target, message));
		arrival.proposer()
			.filter((vm) -> !vm.equals(this.self))
			.ifPresent((vm) -> this.network.send(vm, new ConfigurationHeld(held.version(), held.hash())));
	}

	private void received(Incarnation from, ConfigurationDelta delta) {
		this.holders.heard(from, delta.version(), delta.hash());
		if (delta.version() <= this.state.version()) {
			return;
		}
		if (delta.base() != this.state.version()) {
			this.fetch.wanted(delta.version());
			return;
		}
		Optional<Snapshot> next = apply(from, delta);
		if (next.isEmpty()) {
			this.metrics.mismatch();
			this.fetch.askWhole(from.vm(), delta.version());
			return;
		}
		Optional<VmId> proposer = delta.proposer().equals(NO_PROPOSER) ? Optional.empty()
				: Optional.of(new VmId(delta.proposer()));
		this.adopter.adopt(Arrival.pushed(next.get(), from.vm(), proposer));
		this.metrics.deltaApplied();
	}

	private Optional<Snapshot> apply(Incarnation from, ConfigurationDelta delta) {
		try {
			Snapshot next = this.state.held().with(delta.version(), ConfigurationCodec.decodeEntries(delta.entries()));
			if (next.hash().equals(delta.hash())) {
				return Optional.of(next);
			}
			logger.warnf("The change to version %d from %s leads to content %s where %s is expected", delta.version(),
					from, next.hash(), delta.hash());
		}
		catch (IOException ex) {
			logger.warnf("The change to version %d from %s can't be read: %s", delta.version(), from, ex.getMessage());
		}
		return Optional.empty();
	}

	private void received(Incarnation from, ConfigurationRequest request) {
		if (request.version() >= this.state.version()) {
			return;
		}
		Optional<List<HistoryStep>> steps = this.state.stepsSince(request.version(), request.hash());
		// One that holds nothing gets the whole, so that it never puts an outdated
		// version in
		// force on its way to the newest.
		if (request.version() > 0 && steps.isPresent()) {
			steps.get().forEach((step) -> this.network.send(from.vm(), delta(step)));
		}
		else {
			sendWhole(from.vm());
		}
	}

	private static ConfigurationDelta delta(HistoryStep step) {
		byte[] entries = ConfigurationCodec.encode(step.changes().stream().map(EncodedChange::forward).toList());
		return new ConfigurationDelta(step.base(), step.version(), step.hash(), entries, NO_PROPOSER);
	}

	private void sendWhole(VmId to) {
		Snapshot held = this.state.held();
		byte[] body = ConfigurationCodec
			.encode(new SnapshotBody(held.entries().map(StoredEntry::encoded).toList(), this.state.history()));
		int count = (body.length + this.chunkBytes - 1) / this.chunkBytes;
		for (int index = 0; index < count; index++) {
			int start = index * this.chunkBytes;
			byte[] data = Arrays.copyOfRange(body, start, Math.min(body.length, start + this.chunkBytes));
			if (!this.network.send(to, new ConfigurationChunk(held.version(), held.hash(), index, count, data))) {
				return;
			}
		}
	}

	private void received(Incarnation from, ConfigurationChunk chunk) {
		this.holders.heard(from, chunk.version(), chunk.hash());
		this.fetch.received(from.vm(), chunk);
	}

	private Set<VmId> targets(Arrival arrival) {
		Set<VmId> targets = new LinkedHashSet<>(few(this.relays.localPeers()));
		if (this.relays.isRelay() || arrival.proposer().equals(Optional.of(this.self))) {
			targets.addAll(few(this.relays.otherRelays()));
		}
		arrival.pushedBy().ifPresent(targets::remove);
		arrival.proposer().ifPresent(targets::remove);
		return targets;
	}

	private List<VmId> few(List<VmId> all) {
		List<VmId> rest = new ArrayList<>(all);
		rest.retainAll(this.network.connected());
		List<VmId> chosen = new ArrayList<>();
		while (!rest.isEmpty() && chosen.size() < FAN_OUT) {
			chosen.add(rest.remove(this.random.nextInt(rest.size())));
		}
		return chosen;
	}

}
