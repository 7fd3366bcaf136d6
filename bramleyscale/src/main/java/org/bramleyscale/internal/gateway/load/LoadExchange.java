package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Tells peers what this daemon has under way, and takes what they tell.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class LoadExchange {

	/**
	 * The pause between tellings while something is under way: a third of the time in
	 * which a short prompt's first token is wanted. At 30 endpoints a telling has about
	 * 600 bytes.
	 */
	static final Duration PAUSE = Duration.ofMillis(100);

	/** An idle daemon tells every so many pauses that it is. */
	private static final int IDLE_ROUNDS = 5;

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final LoadBoard loads;

	private final DemandBoard demands;

	private int idleRounds;

	public LoadExchange(Scheduler scheduler, PeerNetwork network, LoadBoard loads, DemandBoard demands) {
		this.scheduler = scheduler;
		this.network = network;
		this.loads = loads;
		this.demands = demands;
		network.listen(LoadTold.class, this::told);
	}

	/**
	 * Enters this slice's messages.
	 * @param builder the catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(103, LoadTold.class);
	}

	public void start() {
		this.scheduler.repeat(PAUSE, this::round);
	}

	/**
	 * Tells now; called when a long prompt was sent, which others must not meet unawares.
	 */
	public void tell() {
		LoadTold message = new LoadTold(this.loads.shares(), this.demands.demands());
		this.network.connected().forEach((peer) -> this.network.send(peer, message));
	}

	private void round() {
		boolean idle = this.loads.shares().isEmpty();
		this.idleRounds = idle ? this.idleRounds + 1 : 0;
		if (!idle || this.idleRounds % IDLE_ROUNDS == 1) {
			tell();
		}
	}

	private void told(Incarnation from, LoadTold message) {
		this.loads.told(from.vm(), (message.shares() != null) ? message.shares() : List.of());
		this.demands.told(from.vm(), (message.demands() != null) ? message.demands() : List.of());
	}

}
