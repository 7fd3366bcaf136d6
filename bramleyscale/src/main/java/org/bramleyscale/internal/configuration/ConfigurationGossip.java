package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Asks a few daemons at short intervals what they hold.
 *
 * <p>
 * Pings close every gap that pushes leave and carry the platform's confirmation from the
 * relays to everybody. Each question goes to other daemons than the one before, so no
 * single silent peer keeps a daemon from being confirmed. Confined to the scheduler's
 * thread.
 */
final class ConfigurationGossip {

	private static final Logger logger = Logger.getLogger(ConfigurationGossip.class);

	/** The pause between two rounds of pings. */
	static final Duration INTERVAL = Duration.ofSeconds(1);

	/** The pause between two rounds while nothing is held. */
	static final Duration START_INTERVAL = Duration.ofMillis(200);

	/** How many daemons a starting one asks in a round. */
	static final int START_TARGETS = 3;

	private static final int REMEMBERED_PINGS = 64;

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final PeerNetwork network;

	private final Relays relays;

	private final ConfigurationState state;

	private final Freshness freshness;

	private final HoldersView holders;

	private final ConfigurationFetch fetch;

	private final ConfigurationMetrics metrics;

	private final Map<Long, Long> sentAt = new LinkedHashMap<>();

	private long sequence;

	private long answeredAt;

	private int round;

	private boolean stopped;

	ConfigurationGossip(Scheduler scheduler, RandomGenerator random, PeerNetwork network, Relays relays,
			ConfigurationState state, Freshness freshness, HoldersView holders, ConfigurationFetch fetch,
			ConfigurationMetrics metrics) {
		this.scheduler = scheduler;
		this.random = random;
		this.network = network;
		this.relays = relays;
		this.state = state;
		this.freshness = freshness;
		this.holders = holders;
		this.fetch = fetch;
		this.metrics = metrics;
		this.answeredAt = scheduler.nanos();
	}

	void start() {
		this.network.listen(ConfigurationPing.class, this::received);
		this.network.listen(ConfigurationDigest.class, this::received);
		this.round = this.random.nextInt(Integer.MAX_VALUE / 2);
		this.scheduler.execute(this::step);
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * How long no peer has answered a ping.
	 * @return the time since the last answer or the start
	 */
	Duration silence() {
		return Duration.ofNanos(this.scheduler.nanos() - this.answeredAt);
	}

	private void step() {
		if (this.stopped) {
			return;
		}
		boolean starting = this.state.version() == 0;
		this.scheduler.schedule(starting ? START_INTERVAL : INTERVAL, this::step);
		this.freshness.majority(this.relays.majorityHeard(), this.scheduler.nanos());
		this.round++;
		targets(starting).forEach(this::ping);
	}

	private Set<VmId> targets(boolean starting) {
		Set<VmId> targets = new LinkedHashSet<>();
		addNext(targets, this.relays.otherRelays(), (this.relays.isRelay() || starting) ? 2 : 1);
		addNext(targets, this.relays.localPeers(), starting ? START_TARGETS - targets.size() : 1);
		return targets;
	}

	private void addNext(Set<VmId> targets, List<VmId> from, int count) {
		List<VmId> rest = new ArrayList<>(from);
		rest.retainAll(this.network.connected());
		rest.removeAll(targets);
		for (int index = 0; index < Math.min(count, rest.size()); index++) {
			targets.add(rest.get((this.round * count + index) % rest.size()));
		}
	}

	private void ping(VmId target) {
		this.sequence++;
		this.sentAt.put(this.sequence, this.scheduler.nanos());
		if (this.sentAt.size() > REMEMBERED_PINGS) {
			this.sentAt.remove(this.sentAt.keySet().iterator().next());
		}
		Snapshot held = this.state.held();
		this.network.send(target, new ConfigurationPing(this.sequence, held.version(), held.hash()));
	}

	private void received(Incarnation from, ConfigurationPing ping) {
		if (ping.sequence() != ConfigurationPing.NO_ANSWER) {
			Snapshot held = this.state.held();
			this.network.send(from.vm(),
					new ConfigurationDigest(ping.sequence(), held.version(), held.hash(), confirmedMillis()));
		}
		heard(from, ping.version(), ping.hash());
	}

	private long confirmedMillis() {
		OptionalLong age = this.freshness.confirmedAge(this.scheduler.nanos());
		return age.isPresent() ? 1 + Duration.ofNanos(age.getAsLong()).toMillis() : ConfigurationDigest.NEVER;
	}

	private void received(Incarnation from, ConfigurationDigest digest) {
		heard(from, digest.version(), digest.hash());
		Long askedAt = this.sentAt.remove(digest.sequence());
		// Without the time of asking nothing says how old the answer is: it may have
		// waited
		// in a connection that was silent.
		if (askedAt == null) {
			return;
		}
		this.answeredAt = Math.max(this.answeredAt, askedAt);
		this.freshness.peerHeard(digest.version(), askedAt);
		if (digest.confirmedMillis() != ConfigurationDigest.NEVER) {
			long age = Duration.ofMillis(digest.confirmedMillis()).toNanos();
			this.freshness.platformConfirmed(digest.version(), askedAt - age);
		}
	}

	private void heard(Incarnation from, long version, ContentHash hash) {
		this.holders.heard(from, version, hash);
		Snapshot held = this.state.held();
		if (version > held.version()) {
			this.fetch.wanted(version);
		}
		else if (version == held.version() && !hash.equals(held.hash())) {
			this.metrics.mismatch();
			logger.errorf("%s holds version %d with content %s, this daemon with %s", from, version, hash, held.hash());
		}
	}

}
