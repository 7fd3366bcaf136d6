package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Tells peers what this daemon has under way, and takes what they tell.
 *
 * <p>
 * Decisions are as good as what a daemon knows of the others' work is fresh: with 172
 * engines and 95 daemons, 0.83 of the worth of what was asked was earned when daemons
 * heard of each other 250 ms late, 0.91 after 100 ms (the experiment hire-desk-large). So
 * a daemon tells as soon as something begins or ends, but for a moment in which more may
 * happen.
 *
 * <p>
 * In a small fleet all tell all. In a large one that would be thousands of messages a
 * second; there each daemon tells the relays of its data centre. Relays tell each other
 * their own work directly, as they are the ones that callers use. Of what the others do
 * they exchange sums, and tell the daemons of their own data centre what all do, each
 * time only of the endpoints at which something changed, and all of them now and then,
 * since a message may be lost with its connection. Confined to the scheduler's thread.
 */
public final class LoadExchange {

	/** What happens within so long after something began or ended is told at once. */
	public static final Duration GATHER = Duration.ofMillis(20);

	/**
	 * The pause between a relay's sums. A small machine has 14 Mbit/s: at 72 endpoints a
	 * sum has 3 KB, and a relay with 27 peers that sent one each 50 ms used 10 Mbit/s of
	 * them. What it had to say queued for seconds, configurations among it.
	 */
	static final Duration SUM_PAUSE = Duration.ofMillis(200);

	/** One of so many sums names all endpoints, more than once while a telling counts. */
	private static final int WHOLE_SUMS = 3;

	/**
	 * The pause between tellings of which nothing has changed, for who missed one; a
	 * daemon's work counts for {@link LoadBoard#PEER_KEPT} after the last.
	 */
	public static final Duration PAUSE = Duration.ofMillis(300);

	/** Tellings that may still be in a sum. */
	private static final int REMEMBERED = (int) LoadBoard.PEER_KEPT.dividedBy(GATHER);

	private static final String FLEET = "fleet";

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final VmId self;

	private final LoadRoutes routes;

	private final LoadBoard loads;

	private final DemandBoard demands;

	private final Map<VmId, ToldWork> near = new HashMap<>();

	private final Map<VmId, ToldWork> relays = new HashMap<>();

	private final Map<String, ToldWork> far = new HashMap<>();

	private final PeerSilence silence;

	private final Deque<LoadTold> tellings = new ArrayDeque<>();

	private final SumSent toRelays = new SumSent();

	private final SumSent toNear = new SumSent();

	private long sequence;

	private boolean tellingSoon;

	/**
	 * Makes the exchange.
	 * @param scheduler the daemon's scheduler
	 * @param network to the peers
	 * @param self this daemon's VM
	 * @param routes who tells whom
	 * @param loads what is under way by endpoint
	 * @param demands what is asked for by service
	 */
	public LoadExchange(Scheduler scheduler, PeerNetwork network, VmId self, LoadRoutes routes, LoadBoard loads,
			DemandBoard demands) {
		this.scheduler = scheduler;
		this.network = network;
		this.self = self;
		this.routes = routes;
		this.loads = loads;
		this.demands = demands;
		this.silence = new PeerSilence(scheduler);
		network.listen(LoadTold.class, this::told);
		network.listen(LoadSummed.class, this::summed);
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(103, LoadTold.class).add(104, LoadSummed.class);
	}

	public void start() {
		this.loads.onChange(this::tellSoon);
		this.scheduler.repeat(PAUSE, this::tell);
		this.scheduler.repeat(SUM_PAUSE, this::sum);
	}

	private void tellSoon() {
		if (!this.tellingSoon) {
			this.tellingSoon = true;
			this.scheduler.schedule(GATHER, this::tell);
		}
	}

	/**
	 * Tells now; called when a long prompt was sent, which others must not meet unawares.
	 */
	public void tell() {
		this.tellingSoon = false;
		this.silence.forgiveOwnPause();
		LoadTold message = new LoadTold(++this.sequence, this.loads.shares(), this.demands.demands());
		this.tellings.addLast(message);
		if (this.tellings.size() > REMEMBERED) {
			this.tellings.removeFirst();
		}
		sendUnlessCongested(listeners(), message);
	}

	/**
	 * Sends to those whose connections keep up. Of work only the newest matters: to the
	 * others it would come late, and keep a configuration waiting behind it. They get the
	 * next telling, or the next sum of all endpoints.
	 * @param to the daemons
	 * @param message a telling or a sum
	 */
	private void sendUnlessCongested(Collection<VmId> to, PeerMessage message) {
		this.network.sendAll(to.stream().filter((vm) -> !this.network.congested(vm)).toList(), message);
	}

	private Collection<VmId> listeners() {
		if (this.routes.flat()) {
			return this.network.connected();
		}
		return this.routes.isRelay() ? otherRelays() : this.routes.relays();
	}

	private Collection<VmId> otherRelays() {
		List<VmId> all = new ArrayList<>(this.routes.relays());
		all.addAll(this.routes.remoteRelays());
		return all;
	}

	/**
	 * Whether a daemon that should be heard isn't, here or by a relay.
	 * @param vm the daemon's VM
	 * @return true if it told something and then fell silent
	 */
	public boolean unheard(VmId vm) {
		return this.silence.silent(vm);
	}

	/**
	 * Sends the sums, as a relay. All daemons of the data centre get the same message,
	 * encoded once, and take out their own part themselves: making a sum for each of 18
	 * took 4 in 100 of a core at 172 endpoints.
	 */
	private void sum() {
		if (this.routes.flat()) {
			return;
		}
		this.silence.expectOnly(this.routes.isRelay() ? otherRelays() : List.of());
		if (!this.routes.isRelay()) {
			return;
		}
		long now = this.scheduler.nanos();
		List.of(this.near, this.relays, this.far)
			.forEach((works) -> works.values().removeIf((told) -> told.silentFor(LoadBoard.PEER_KEPT, now)));
		LoadSum sum = new LoadSum();
		Map<String, Long> included = new HashMap<>();
		this.near.forEach((vm, told) -> {
			sum.add(told.shares(now), told.demands(), 1);
			included.put(vm.value(), told.sequence());
		});
		this.toRelays.next(sum, false, Map.of(), Set.of())
			.ifPresent((message) -> sendUnlessCongested(this.routes.remoteRelays(), message));
		sum.add(this.loads.shares(), this.demands.demands(), 1);
		this.relays.values().forEach((told) -> sum.add(told.shares(now), told.demands(), 1));
		this.far.values().forEach((told) -> sum.add(told.shares(now), told.demands(), 1));
		this.toNear.next(sum, true, included, unheardRelays())
			.ifPresent((message) -> sendUnlessCongested(this.routes.near(), message));
	}

	private Set<VmId> unheardRelays() {
		Set<VmId> unheard = new TreeSet<>(Comparator.comparing(VmId::value));
		otherRelays().stream().filter(this::unheard).forEach(unheard::add);
		return unheard;
	}

	/**
	 * The telling of this daemon that a sum holds.
	 * @param message the sum
	 * @return the telling, or empty if there is none or it is long past
	 */
	private Optional<LoadTold> ownPart(LoadSummed message) {
		Long own = (message.included() != null) ? message.included().get(this.self.value()) : null;
		if (own == null) {
			return Optional.empty();
		}
		return this.tellings.stream().filter((told) -> told.sequence() == own).findFirst();
	}

	private static List<LoadTold.Share> without(Optional<LoadTold> own, List<LoadTold.Share> sum) {
		if (own.isEmpty()) {
			return sum;
		}
		Map<String, LoadTold.Share> mine = new HashMap<>();
		own.get().shares().forEach((share) -> mine.put(share.endpoint(), share));
		List<LoadTold.Share> others = new ArrayList<>(sum.size());
		for (LoadTold.Share share : sum) {
			LoadTold.Share part = mine.get(share.endpoint());
			others.add((part != null) ? share.without(part) : share);
		}
		return others;
	}

	private static List<LoadTold.Demand> demandsWithout(Optional<LoadTold> own, List<LoadTold.Demand> all) {
		LoadSum sum = new LoadSum().add(List.of(), all, 1);
		own.ifPresent((telling) -> sum.add(List.of(), telling.demands(), -1));
		return sum.demands();
	}

	private void told(Incarnation from, LoadTold message) {
		List<LoadTold.Share> shares = orEmpty(message.shares());
		List<LoadTold.Demand> toldDemands = orEmpty(message.demands());
		if (this.routes.flat() || this.routes.isRelay()) {
			this.silence.heard(from.vm());
			boolean relay = isRelay(from.vm());
			(relay ? this.near : this.relays).remove(from.vm());
			(relay ? this.relays : this.near).computeIfAbsent(from.vm(), (vm) -> new ToldWork())
				.take(true, message.sequence(), shares, toldDemands, this.scheduler.nanos());
			this.loads.told(from.vm().value(), shares);
			this.demands.told(from.vm().value(), toldDemands);
		}
	}

	/**
	 * Whether a daemon tells all relays its own work, so that it mustn't be in the sum of
	 * its data centre. One of another data centre tells only as a relay.
	 * @param vm the daemon's VM
	 * @return true for a relay
	 */
	private boolean isRelay(VmId vm) {
		boolean near = this.routes.dataCentre(vm).equals(this.routes.dataCentre(this.self));
		return !near || this.routes.relays().contains(vm);
	}

	private void summed(Incarnation from, LoadSummed message) {
		if (this.routes.flat() || message.fleet() == this.routes.isRelay()) {
			// A relay adds up for itself; and what it adds up isn't for other daemons.
			return;
		}
		Optional<LoadTold> own = ownPart(message);
		List<LoadTold.Share> others = without(own, orEmpty(message.shares()));
		List<LoadTold.Demand> otherDemands = demandsWithout(own, orEmpty(message.demands()));
		String source = message.fleet() ? FLEET : this.routes.dataCentre(from.vm());
		if (!message.fleet()) {
			this.far.computeIfAbsent(source, (dataCentre) -> new ToldWork())
				.take(message.whole(), 0, others, otherDemands, this.scheduler.nanos());
		}
		if (message.whole()) {
			this.loads.told(source, others);
		}
		else {
			this.loads.toldMore(source, others);
		}
		this.demands.told(source, otherDemands);
		this.silence.relaySays((message.unheard() != null) ? message.unheard() : Set.of());
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? list : List.of();
	}

	/**
	 * What was last sent of a sum.
	 */
	private static final class SumSent {

		private Map<String, LoadTold.Share> last = Map.of();

		private Set<VmId> unheard = Set.of();

		private int since = WHOLE_SUMS;

		/**
		 * The next message.
		 * @param sum the sum
		 * @param fleet what {@link LoadSummed} says of it
		 * @param included what {@link LoadSummed} says of it
		 * @param unheard what {@link LoadSummed} says of it
		 * @return the message, or empty if nothing has changed and it isn't time to name
		 * all endpoints
		 */
		Optional<LoadSummed> next(LoadSum sum, boolean fleet, Map<String, Long> included, Set<VmId> unheard) {
			Map<String, LoadTold.Share> now = new HashMap<>(sum.shares());
			boolean whole = ++this.since >= WHOLE_SUMS || !unheard.equals(this.unheard);
			List<LoadTold.Share> told = whole ? List.copyOf(now.values()) : changes(now);
			this.last = now;
			this.unheard = unheard;
			if (whole) {
				this.since = 0;
			}
			return (whole || !told.isEmpty())
					? Optional.of(new LoadSummed(fleet, whole, told, sum.demands(), included, unheard))
					: Optional.empty();
		}

		private List<LoadTold.Share> changes(Map<String, LoadTold.Share> now) {
			List<LoadTold.Share> changes = new ArrayList<>();
			now.forEach((endpoint, share) -> {
				LoadTold.Share before = this.last.get(endpoint);
				if (before == null || !before.sameWork(share)) {
					changes.add(share);
				}
			});
			this.last.keySet()
				.stream()
				.filter((endpoint) -> !now.containsKey(endpoint))
				.forEach((endpoint) -> changes.add(LoadTold.Share.nothing(endpoint)));
			return changes;
		}

	}

}
