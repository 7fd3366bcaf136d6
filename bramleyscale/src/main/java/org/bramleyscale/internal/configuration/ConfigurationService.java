package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * The configuration of one daemon: held, kept up to date, and changed on request.
 *
 * <p>
 * Invariants: the held version never decreases; a version is in force here before this
 * daemon tells anybody that it holds it; an accepted change is in the platform. Confined
 * to the scheduler's thread. <pre>
 * ConfigurationService configuration = ConfigurationService.builder()
 * 	.self(vm)
 * 	.scheduler(scheduler)
 * 	...
 * 	.build();
 * configuration.start();
 * configuration.propose(change).whenComplete(...);
 * </pre>
 */
public final class ConfigurationService implements ConfigurationSource, StateDump {

	private static final Logger logger = Logger.getLogger(ConfigurationService.class);

	// Daemons that still read the version before find its parts for this long.
	private static final Duration KEEP_OLD_PARTS = Duration.ofSeconds(60);

	private static final int LONGEST_DUMP = 100;

	private final VmId self;

	private final Scheduler scheduler;

	private final Relays relays;

	private final ConfigurationMetrics metrics;

	private final ConfigurationState state = new ConfigurationState();

	private final ConfigurationStore store;

	private final Freshness freshness;

	private final HoldersView holders;

	private final HolderWait holderWait;

	private final ConfigurationFetch fetch;

	private final ConfigurationSpread spread;

	private final ConfigurationGossip gossip;

	private final ConfigurationWatch watch;

	private final Map<String, Proposal> proposals = new HashMap<>();

	ConfigurationService(ConfigurationServiceBuilder builder) {
		this.self = builder.self;
		this.scheduler = builder.scheduler;
		this.relays = builder.relays;
		this.metrics = new ConfigurationMetrics(builder.metrics);
		this.store = new ConfigurationStore(builder.objects);
		this.freshness = new Freshness(builder.staleAfter);
		this.holders = new HoldersView(builder.scheduler);
		this.holderWait = new HolderWait(builder.scheduler, builder.relays, this.holders, this.state::version);
		this.fetch = new ConfigurationFetch(builder.scheduler, this.state, this.store, builder.network, builder.relays,
				this.holders, this.freshness, this::adopt);
		this.spread = new ConfigurationSpread(this.state, builder.network, builder.relays, this.holders, this.fetch,
				this::adopt, this.metrics, builder.random, builder.self, builder.chunkBytes);
		this.gossip = new ConfigurationGossip(builder.scheduler, builder.random, builder.network, builder.relays,
				this.state, this.freshness, this.holders, this.fetch, this.metrics);
		this.watch = new ConfigurationWatch(builder.objects, builder.scheduler, builder.watchWait, this::watches,
				this::headSeen);
		this.holders.onHeard(this.holderWait::check);
	}

	public static ConfigurationServiceBuilder builder() {
		return new ConfigurationServiceBuilder();
	}

	/**
	 * Starts to look for the newest version and to keep up with it.
	 */
	public void start() {
		this.spread.start();
		this.gossip.start();
		this.watch.start();
		long askedAt = this.scheduler.nanos();
		this.store.readHead().whenComplete((stored, failure) -> this.scheduler.execute(() -> {
			if (failure == null) {
				headSeen(stored.head(), askedAt);
			}
		}));
	}

	/**
	 * Ends all periodic work.
	 */
	public void stop() {
		this.gossip.stop();
		this.watch.stop();
	}

	@Override
	public Configuration current() {
		return this.state.held().configuration();
	}

	@Override
	public boolean fresh() {
		long now = this.scheduler.nanos();
		this.freshness.majority(this.relays.majorityHeard(), now);
		return this.freshness.fresh(now, this.relays.members() <= 1);
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
		this.state.onChange(listener);
	}

	/**
	 * Which other daemons hold which version.
	 * @return the view
	 */
	public HoldersView holders() {
		return this.holders;
	}

	/**
	 * The content hash of the held version.
	 * @return the hash, equal on all daemons that hold the same version
	 */
	public ContentHash hash() {
		return this.state.held().hash();
	}

	/**
	 * Asks for a change. A change whose future failed may be repeated with the same id;
	 * it takes effect at most once.
	 * @param change the change
	 * @return how the change ended; fails with a
	 * {@link org.bramleyscale.ServingException} whose {@code ran} is {@code NO} if the
	 * change was not accepted and {@code UNKNOWN} if nobody can tell
	 */
	public CompletableFuture<ChangeResult> propose(Change change) {
		Proposal running = this.proposals.get(change.id());
		if (running != null && running.fingerprint() == change.fingerprint()) {
			return running.future();
		}
		Proposal proposal = new Proposal(this.store, new Host(), change);
		this.proposals.put(change.id(), proposal);
		proposal.future().whenComplete((result, failure) -> ended(change, proposal, result, failure));
		proposal.start();
		return proposal.future();
	}

	@Override
	public String name() {
		return "configuration";
	}

	@Override
	public ConfigurationDump dump() {
		Snapshot held = this.state.held();
		OptionalLong age = this.freshness.confirmedAge(this.scheduler.nanos());
		List<ConfigurationDump.Holding> others = this.holders.holders()
			.stream()
			.limit(LONGEST_DUMP)
			.map((holder) -> new ConfigurationDump.Holding(holder.vm().value(), holder.version(),
					holder.hash().toString(), holder.heardAgo().toMillis()))
			.toList();
		return new ConfigurationDump(held.version(), held.hash().toString(), held.size(), held.buckets().size(),
				fresh(), age.isPresent() ? Duration.ofNanos(age.getAsLong()).toMillis() : ConfigurationDigest.NEVER,
				this.freshness.newestKnown(), this.relays.isRelay(), this.relays.heard(), this.relays.members(),
				others);
	}

	// A daemon that no peer answers watches the platform itself, so that a fault between
	// daemons alone doesn't stop it from admitting.
	private boolean watches() {
		return this.relays.isRelay()
				|| this.gossip.silence().compareTo(ConfigurationGossip.INTERVAL.multipliedBy(3)) > 0;
	}

	private void headSeen(Head head, long askedAt) {
		this.fetch.headSeen(head);
		this.freshness.platformConfirmed(head.version(), askedAt);
	}

	private boolean adopt(Arrival arrival) {
		Snapshot earlier = this.state.held();
		boolean adopted = arrival.history().isEmpty() ? this.state.adopt(arrival.snapshot())
				: this.state.adopt(arrival.snapshot(), arrival.history());
		if (adopted) {
			logger.debugf("Version %d is in force", arrival.snapshot().version());
			this.freshness.held(arrival.snapshot().version());
			this.fetch.adopted();
			this.spread.passOn(earlier, arrival);
		}
		return adopted;
	}

	private void ended(Change change, Proposal proposal, ChangeResult result, Throwable failure) {
		this.proposals.remove(change.id(), proposal);
		if (result instanceof ChangeResult.Accepted) {
			this.metrics.accepted();
		}
		else if (result instanceof ChangeResult.Conflict) {
			this.metrics.conflict();
		}
		else if (failure != null) {
			this.metrics.unknownOutcome();
		}
	}

	/**
	 * This daemon as its proposals see it.
	 */
	private final class Host implements ProposalHost {

		@Override
		public VmId self() {
			return ConfigurationService.this.self;
		}

		@Override
		public Scheduler scheduler() {
			return ConfigurationService.this.scheduler;
		}

		@Override
		public boolean majorityHeard() {
			return ConfigurationService.this.relays.majorityHeard();
		}

		@Override
		public Snapshot held() {
			return ConfigurationService.this.state.held();
		}

		@Override
		public Optional<Snapshot> at(long version) {
			return ConfigurationService.this.state.at(version);
		}

		@Override
		public CompletableFuture<Boolean> holding(long version, Duration limit) {
			return ConfigurationService.this.fetch.holding(version, limit);
		}

		@Override
		public void headSeen(Head head) {
			ConfigurationService.this.fetch.headSeen(head);
		}

		@Override
		public void written(Head old, Head head, Snapshot next) {
			adopt(Arrival.stored(next, head));
			List<ObjectKey> replaced = ConfigurationStore.partsOnlyIn(old, head);
			ConfigurationService.this.scheduler.schedule(KEEP_OLD_PARTS,
					() -> ConfigurationService.this.store.deleteParts(replaced));
		}

		@Override
		public CompletableFuture<ChangeResult.Accepted> spread(long version) {
			return ConfigurationService.this.holderWait.await(version);
		}

	}

}
