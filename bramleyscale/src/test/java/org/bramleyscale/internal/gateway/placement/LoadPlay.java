package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.load.DemandBoard;
import org.bramleyscale.internal.gateway.load.LoadBoard;
import org.bramleyscale.internal.gateway.load.LoadTold;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Plays a mix of prompts on fake engines and notes what callers get.
 *
 * <p>
 * Requests come to daemons by chance; each knows its own work at once and that of the
 * others after a delay. Not safe for use by multiple threads.
 */
final class LoadPlay {

	private static final ServiceName NAME = new ServiceName("engines");

	private static final EngineProfile PROFILE = new EngineProfile(11, 405_000, 34, 2_048, 1.31, 0.00133, 0.00213, 154,
			0.162);

	private static final int ENGINES = 21;

	private static final Duration TELLING = Duration.ofMillis(100);

	private static final Duration PLACED_AGAIN = Duration.ofMillis(25);

	private static final double LATE = 0.25;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	final ManualScheduler scheduler = new ManualScheduler();

	final BackendTable backends = new BackendTable(this.scheduler, DecisionLog.NONE);

	private final List<Daemon> daemons = new ArrayList<>();

	final Random random;

	private final Map<EndpointStart, PassEngine> engines = new HashMap<>();

	private final Map<Kind, List<Boolean>> onTime = new EnumMap<>(Kind.class);

	private int refusals;

	private double earned;

	private double owed;

	LoadPlay(long seed) {
		this(seed, ENGINES, 1, Duration.ZERO);
	}

	/**
	 * Makes a play.
	 * @param seed of all chance
	 * @param engines how many engines
	 * @param daemons how many daemons
	 * @param delay how late a daemon knows of another's work
	 */
	LoadPlay(long seed, int engines, int daemons, Duration delay) {
		this.random = new Random(seed);
		for (int i = 0; i < daemons; i++) {
			this.daemons.add(new Daemon("daemon-" + i));
		}
		this.scheduler.repeat(TELLING, () -> tell(delay));
		for (int i = 0; i < engines; i++) {
			EndpointStart id = EndpointStart.untold(String.format("engine-%02d", i));
			this.backends.put(new Backend(id, NAME, HostAndPort.fromParts("10.0.0." + i, 80), new DataCentre("east"),
					PROFILE.slots(), false));
			this.engines.put(id, new PassEngine(this.scheduler, PROFILE));
		}
		for (Kind kind : Kind.values()) {
			this.onTime.put(kind, new ArrayList<>());
		}
	}

	private void tell(Duration delay) {
		if (this.daemons.size() == 1) {
			return;
		}
		for (Daemon from : this.daemons) {
			List<LoadTold.Share> shares = from.loads.shares();
			List<LoadTold.Demand> demands = from.demands.demands();
			this.scheduler.schedule(delay, () -> this.daemons.stream().filter((to) -> to != from).forEach((to) -> {
				to.loads.told(from.name, shares);
				to.demands.told(from.name, demands);
			}));
		}
	}

	/**
	 * The product's own decision.
	 * @param daemon the daemon that decides
	 * @return the policy
	 */
	PlacementPolicy product(Daemon daemon) {
		return new EnginePlacement(this.backends, new BackendHealth(this.scheduler, DecisionLog.NONE), daemon.loads,
				daemon.demands, this.random);
	}

	/**
	 * A baseline: the engine with the fewest requests, which reads the prompt alone.
	 * @param daemon the daemon that decides
	 * @return the policy
	 */
	PlacementPolicy leastInFlight(Daemon daemon) {
		return (request) -> {
			Backend best = null;
			for (Backend backend : this.backends.usable(NAME)) {
				if (best == null || daemon.active(backend) < daemon.active(best)) {
					best = backend;
				}
			}
			return Placement.at(best, List.of(), PROFILE.readMillis(request.promptTokens()), 0, "least in flight");
		};
	}

	/**
	 * A baseline: any prompt is read by as many of the least busy engines as may help.
	 * @param daemon the daemon that decides
	 * @return the policy
	 */
	PlacementPolicy alwaysSplit(Daemon daemon) {
		return (request) -> {
			List<Backend> sorted = new ArrayList<>(this.backends.usable(NAME));
			sorted.sort((left, right) -> Integer.compare(daemon.active(left), daemon.active(right)));
			List<Backend> helpers = sorted.subList(1, EnginePlacement.MOST_READERS);
			return Placement.at(sorted.get(0), helpers,
					PROFILE.readMillis(request.promptTokens()) / EnginePlacement.MOST_READERS, 0, "always split");
		};
	}

	/**
	 * Plays.
	 * @param placement makes the policy of each daemon
	 * @param rates arrivals a second by kind
	 * @param length how long requests arrive
	 */
	void play(BiFunction<LoadPlay, Daemon, PlacementPolicy> placement, Map<Kind, Double> rates, Duration length) {
		this.daemons.forEach((daemon) -> daemon.policy = placement.apply(this, daemon));
		// In the order of the kinds, so that a seed gives the same play each time.
		new EnumMap<>(rates).forEach((kind, rate) -> arrive(kind, rate, length.toNanos()));
		this.scheduler.advance(length.plusSeconds(20));
	}

	/**
	 * The part of a kind's requests whose first event and pauses were in time.
	 * @param kind the kind
	 * @return the part, 0 to 1
	 */
	double onTime(Kind kind) {
		List<Boolean> outcomes = this.onTime.get(kind);
		return (double) outcomes.stream().filter((good) -> good).count() / Math.max(1, outcomes.size());
	}

	/**
	 * Requests that an engine refused because a helper helps as many as it may.
	 * @return the number
	 */
	int refusals() {
		return this.refusals;
	}

	private void arrive(Kind kind, double rate, long until) {
		double seconds = -Math.log(1 - this.random.nextDouble()) / rate;
		this.scheduler.schedule(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)), () -> {
			if (this.scheduler.nanos() < until) {
				begin(kind);
				arrive(kind, rate, until);
			}
		});
	}

	private void begin(Kind kind) {
		int index = (this.daemons.size() > 1) ? this.random.nextInt(this.daemons.size()) : 0;
		place(this.daemons.get(index), kind, kind.tokens(this.random), kind.events(this.random),
				this.scheduler.nanos());
	}

	private void place(Daemon daemon, Kind kind, long tokens, int events, long arrived) {
		Duration waited = Duration.ofNanos(this.scheduler.nanos() - arrived);
		boolean longPrompt = EnginePlacement.isLong(PROFILE, tokens);
		double read = PROFILE.readMillis(tokens);
		if (longPrompt && waited.isZero()) {
			daemon.demands.longArrived(NAME, read);
		}
		Placement placed = daemon.policy
			.place(new PlacementRequest(kind.route(), service(), tokens, events * (long) PROFILE.stride(),
					kind.route().patience().minus(waited), waited, Set.of(), new DataCentre("east")));
		if (placed.waits()) {
			daemon.demands.waitBegan(NAME, read);
			this.scheduler.schedule(PLACED_AGAIN, () -> {
				daemon.demands.waitEnded(NAME, read);
				place(daemon, kind, tokens, events, arrived);
			});
			return;
		}
		if (placed.target().isEmpty()) {
			owe(kind, tokens, 0);
			this.onTime.get(kind).add(false);
			return;
		}
		if (!placed.helpers().stream().allMatch((helper) -> this.engines.get(helper.start()).helps())) {
			this.refusals++;
			owe(kind, tokens, 0);
			this.onTime.get(kind).add(false);
			return;
		}
		if (!longPrompt) {
			daemon.demands.shortBegan(NAME);
		}
		new Request(daemon, kind, tokens, events, longPrompt, arrived).send(placed);
	}

	private void owe(Kind kind, long tokens, double part) {
		double worth = kind.worth * Math.min(4, 0.3 + 0.7 * tokens / kind.meanTokens);
		this.owed += worth;
		this.earned += part * worth;
	}

	/**
	 * What callers got, as a part of what they would get if all answers were in time.
	 * @return the part, 0 to 1; a late answer counts a quarter
	 */
	double worth() {
		return this.earned / this.owed;
	}

	private static Service service() {
		return new Service(NAME, 364, Optional.of(PROFILE));
	}

	/**
	 * A kind of request of the crusher hire desk.
	 */
	enum Kind {

		QUOTE(4_960, 0.75, 38, 300, 250, 1.3), REVIEW(45_000, 0.45, 23, 1_500, 600, 3.9),
		MANUAL(182_000, 0.5, 19, 3_000, 1_000, 24);

		private static final double HALF = 0.5;

		private final double meanTokens;

		private final double sigma;

		private final int meanEvents;

		private final int target;

		private final int pause;

		private final double worth;

		Kind(double meanTokens, double sigma, int meanEvents, int target, int pause, double worth) {
			this.meanTokens = meanTokens;
			this.sigma = sigma;
			this.meanEvents = meanEvents;
			this.target = target;
			this.pause = pause;
			this.worth = worth;
		}

		long tokens(Random random) {
			double factor = Math.exp(this.sigma * random.nextGaussian() - this.sigma * this.sigma / 2);
			return (long) Math.max(100, Math.min(350_000, this.meanTokens * factor));
		}

		int events(Random random) {
			return Math.max(2, (int) Math.round(this.meanEvents * Math.exp(HALF * random.nextGaussian() - HALF / 4)));
		}

		Route route() {
			return Route.builder(name(), "h", "/")
				.service(NAME.value())
				.streaming(true)
				.targetLatency(Duration.ofMillis(this.target))
				.longestPause(Duration.ofMillis(this.pause))
				.patience(Duration.ofMillis(Math.max(2_000, Math.max(4 * this.target, 8 * this.pause))))
				.build();
		}

	}

	/**
	 * What one daemon knows.
	 */
	final class Daemon {

		private final String name;

		private final LoadBoard loads = new LoadBoard(LoadPlay.this.scheduler);

		private final DemandBoard demands = new DemandBoard(LoadPlay.this.scheduler);

		private PlacementPolicy policy;

		private Daemon(String name) {
			this.name = name;
		}

		private int active(Backend backend) {
			return this.loads.load(backend.start()).active();
		}

	}

	/**
	 * One request on the fake engines.
	 */
	private final class Request {

		private final Daemon daemon;

		private final Kind kind;

		private final long tokens;

		private final int events;

		private final boolean longPrompt;

		private final long begun;

		private final List<LoadBoard.Work> works = new ArrayList<>();

		private int unread;

		private int written;

		private long lastEvent;

		private boolean late;

		private boolean gone;

		private Request(Daemon daemon, Kind kind, long tokens, int events, boolean longPrompt, long arrived) {
			this.daemon = daemon;
			this.kind = kind;
			this.tokens = tokens;
			this.events = events;
			this.longPrompt = longPrompt;
			this.begun = arrived;
		}

		private void send(Placement placed) {
			Backend target = placed.target().orElseThrow();
			int parts = placed.helpers().size() + 1;
			this.unread = parts;
			this.works
				.add(this.daemon.loads.begin(target.start(), placed.readMillis(), this.tokens - placed.held(), true));
			PassEngine writer = LoadPlay.this.engines.get(target.start());
			double part = (double) this.tokens / parts;
			writer.read(part, placed.readMillis(), false, () -> read(writer));
			for (Backend helper : placed.helpers()) {
				this.works
					.add(this.daemon.loads.begin(helper.start(), placed.readMillis(), placed.heldAt(helper), false));
				LoadPlay.this.engines.get(helper.start()).read(part, placed.readMillis(), true, () -> read(writer));
			}
		}

		private void read(PassEngine writer) {
			this.unread--;
			if (this.unread == 0) {
				writer.write(this.events, this.tokens, this::event);
			}
		}

		private void event() {
			long now = LoadPlay.this.scheduler.nanos();
			long limit = (this.written == 0) ? this.kind.target : this.kind.pause;
			long since = now - ((this.written == 0) ? this.begun : this.lastEvent);
			this.late |= since > Duration.ofMillis(limit).toNanos();
			this.lastEvent = now;
			this.written++;
			if (this.written == 1) {
				this.gone = since > this.kind.route().patience().toNanos();
				this.works.forEach(LoadBoard.Work::read);
			}
			if (this.written == this.events) {
				this.works.forEach(LoadBoard.Work::end);
				if (!this.longPrompt) {
					this.daemon.demands.shortEnded(NAME);
				}
				LoadPlay.this.onTime.get(this.kind).add(!this.late);
				owe(this.kind, this.tokens, this.gone ? 0 : (this.late ? LATE : 1));
			}
		}

	}

}
