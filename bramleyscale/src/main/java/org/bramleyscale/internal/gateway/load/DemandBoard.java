package org.bramleyscale.internal.gateway.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.Clock;

/**
 * How many short requests are under way, and how much reading waits at daemons, by
 * service and over all daemons.
 *
 * <p>
 * Invariant: what a silent daemon told counts for {@link LoadBoard#PEER_KEPT}. Confined
 * to the scheduler's thread.
 */
public final class DemandBoard {

	private final Clock clock;

	private final Map<ServiceName, Own> own = new HashMap<>();

	private final Map<String, Told> others = new HashMap<>();

	public DemandBoard(Clock clock) {
		this.clock = clock;
	}

	public void shortBegan(ServiceName service) {
		own(service).shortActive++;
	}

	public void shortEnded(ServiceName service) {
		own(service).shortActive--;
	}

	/**
	 * Notes that a long prompt isn't sent yet.
	 * @param service the service
	 * @param readMillis its reading, ms
	 */
	public void waitBegan(ServiceName service, double readMillis) {
		Own demand = own(service);
		demand.waiting++;
		demand.waitingMillis += readMillis;
	}

	/**
	 * Notes that a long prompt waits no more.
	 * @param service the service
	 * @param readMillis its reading, ms, as it was when it began to wait
	 */
	public void waitEnded(ServiceName service, double readMillis) {
		Own demand = own(service);
		demand.waiting--;
		demand.waitingMillis -= readMillis;
	}

	/**
	 * The reading that is done before a prompt's own, if shorter prompts go first.
	 * @param service the service
	 * @param readMillis the prompt's reading, ms
	 * @return the time of one engine, ms
	 */
	public double waitingAhead(ServiceName service, double readMillis) {
		Own mine = own(service);
		double sum = ahead(mine.waiting, mine.waitingMillis, readMillis);
		for (LoadTold.Demand demand : told(service)) {
			sum += ahead(demand.waiting(), demand.waitingMillis(), readMillis);
		}
		return sum;
	}

	private static double ahead(int waiting, double waitingMillis, double readMillis) {
		return (waiting > 0) ? waiting * Math.min(readMillis, waitingMillis / waiting) : 0;
	}

	/**
	 * Short requests under way on all daemons.
	 * @param service the service
	 * @return the number
	 */
	public int shortActive(ServiceName service) {
		int sum = own(service).shortActive;
		for (LoadTold.Demand demand : told(service)) {
			sum += demand.shortActive();
		}
		return sum;
	}

	public List<LoadTold.Demand> demands() {
		List<LoadTold.Demand> demands = new ArrayList<>();
		this.own.forEach((service, demand) -> demands.add(new LoadTold.Demand(service.value(), demand.shortActive,
				demand.waiting, (int) Math.round(demand.waitingMillis))));
		return demands;
	}

	/**
	 * Takes what was told of others' demand; it replaces what the same source told
	 * before.
	 * @param source a peer, or a group of them
	 * @param demands the demand by service
	 */
	public void told(String source, List<LoadTold.Demand> demands) {
		this.others.put(source, new Told(this.clock.nanos(), demands));
	}

	private List<LoadTold.Demand> told(ServiceName service) {
		List<LoadTold.Demand> result = new ArrayList<>();
		Set<String> silent = new HashSet<>();
		this.others.forEach((source, told) -> {
			if (this.clock.nanos() - told.at() > LoadBoard.PEER_KEPT.toNanos()) {
				silent.add(source);
				return;
			}
			told.demands().stream().filter((demand) -> demand.service().equals(service.value())).forEach(result::add);
		});
		this.others.keySet().removeAll(silent);
		return result;
	}

	private Own own(ServiceName service) {
		return this.own.computeIfAbsent(service, (name) -> new Own());
	}

	/**
	 * What a peer told.
	 *
	 * @param at when it arrived
	 * @param demands its demand by service
	 */
	private record Told(long at, List<LoadTold.Demand> demands) {
	}

	/**
	 * This daemon's demand for one service.
	 */
	private static final class Own {

		private int shortActive;

		private int waiting;

		private double waitingMillis;

	}

}
