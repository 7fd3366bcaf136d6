package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Tells peers what this daemon has under way, and takes what they tell.
 *
 * <p>
 * In a small fleet all tell all. In a large one that would be thousands of messages a
 * second; there each daemon tells the relays of its data centre, relays exchange the sums
 * of their data centres, and tell each daemon of their own what all others do. A daemon
 * that isn't a relay then sends and gets two messages a round, however large the fleet.
 * Confined to the scheduler's thread.
 */
public final class LoadExchange {

	/**
	 * The pause between tellings while something is under way: a third of the time in
	 * which a short prompt's first token is wanted. At 30 endpoints a telling has about
	 * 600 bytes.
	 */
	public static final Duration PAUSE = Duration.ofMillis(100);

	/**
	 * Sums travel over two more hops, and go to a whole data centre; every other round.
	 */
	private static final int SUM_ROUNDS = 2;

	/** An idle daemon tells every so many pauses that it is. */
	private static final int IDLE_ROUNDS = 5;

	/**
	 * Tellings that may still be in a sum: those of the time for which they count, and as
	 * many between two rounds, since a long prompt is told at once.
	 */
	private static final int REMEMBERED = 2 * (int) LoadBoard.PEER_KEPT.dividedBy(PAUSE);

	private static final String FLEET = "fleet";

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final VmId self;

	private final LoadRoutes routes;

	private final LoadBoard loads;

	private final DemandBoard demands;

	private final Map<VmId, Heard<LoadTold>> near = new HashMap<>();

	private final Map<String, Heard<LoadSummed>> far = new HashMap<>();

	private final Deque<LoadTold> tellings = new ArrayDeque<>();

	private long sequence;

	private int rounds;

	private int idleRounds;

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
		this.scheduler.repeat(PAUSE, this::round);
	}

	/**
	 * Tells now; called when a long prompt was sent, which others must not meet unawares.
	 */
	public void tell() {
		LoadTold message = new LoadTold(++this.sequence, this.loads.shares(), this.demands.demands());
		this.tellings.addLast(message);
		if (this.tellings.size() > REMEMBERED) {
			this.tellings.removeFirst();
		}
		this.network.sendAll(this.routes.flat() ? this.network.connected() : this.routes.relays(), message);
	}

	private void round() {
		this.rounds++;
		boolean idle = this.loads.shares().isEmpty();
		this.idleRounds = idle ? this.idleRounds + 1 : 0;
		if (!idle || this.idleRounds % IDLE_ROUNDS == 1) {
			tell();
		}
		if (!this.routes.flat() && this.routes.isRelay() && this.rounds % SUM_ROUNDS == 0) {
			relay();
		}
	}

	/**
	 * Sends the sums. All daemons of the data centre get the same message, encoded once,
	 * and take out their own part themselves: making a sum for each of 18 took a relay 4
	 * % of a core at 172 endpoints.
	 */
	private void relay() {
		long oldest = this.scheduler.nanos() - LoadBoard.PEER_KEPT.toNanos();
		this.near.values().removeIf((heard) -> heard.at() < oldest);
		this.far.values().removeIf((heard) -> heard.at() < oldest);
		LoadSum sum = new LoadSum().add(this.loads.shares(), this.demands.demands(), 1);
		Map<String, Long> included = new HashMap<>();
		this.near.forEach((vm, heard) -> {
			sum.add(heard.message().shares(), heard.message().demands(), 1);
			included.put(vm.value(), heard.message().sequence());
		});
		this.network.sendAll(this.routes.remoteRelays(), sum.message(false, Map.of()));
		this.far.values().forEach((heard) -> sum.add(heard.message().shares(), heard.message().demands(), 1));
		this.network.sendAll(this.routes.near(), sum.message(true, included));
	}

	/**
	 * Takes this daemon's own part out of a sum.
	 * @param message the sum
	 * @return the work of all others
	 */
	private LoadSummed withoutOwn(LoadSummed message) {
		Long own = (message.included() != null) ? message.included().get(this.self.value()) : null;
		if (own == null) {
			return message;
		}
		LoadSum sum = new LoadSum().add(message.shares(), message.demands(), 1);
		this.tellings.stream()
			.filter((telling) -> telling.sequence() == own)
			.forEach((telling) -> sum.add(telling.shares(), telling.demands(), -1));
		return sum.message(message.fleet(), Map.of());
	}

	private void told(Incarnation from, LoadTold message) {
		LoadTold whole = new LoadTold(message.sequence(), orEmpty(message.shares()), orEmpty(message.demands()));
		this.near.put(from.vm(), new Heard<>(whole, this.scheduler.nanos()));
		if (this.routes.flat() || this.routes.isRelay()) {
			this.loads.told(from.vm().value(), whole.shares());
			this.demands.told(from.vm().value(), whole.demands());
		}
	}

	private void summed(Incarnation from, LoadSummed message) {
		if (this.routes.flat() || message.fleet() == this.routes.isRelay()) {
			// A relay adds up for itself; and what it adds up isn't for other daemons.
			return;
		}
		LoadSummed whole = withoutOwn(new LoadSummed(message.fleet(), orEmpty(message.shares()),
				orEmpty(message.demands()), message.included()));
		String source = message.fleet() ? FLEET : this.routes.dataCentre(from.vm());
		if (!message.fleet()) {
			this.far.put(source, new Heard<>(whole, this.scheduler.nanos()));
		}
		this.loads.told(source, whole.shares());
		this.demands.told(source, whole.demands());
	}

	private static <T> List<T> orEmpty(List<T> list) {
		return (list != null) ? list : List.of();
	}

	/**
	 * What somebody told.
	 *
	 * @param <M> the type of message
	 * @param message the message
	 * @param at when it arrived
	 */
	private record Heard<M>(M message, long at) {
	}

}
