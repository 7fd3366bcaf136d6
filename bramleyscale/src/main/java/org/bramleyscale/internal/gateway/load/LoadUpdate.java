package org.bramleyscale.internal.gateway.load;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The load of a daemon, sent to its peers several times a second.
 *
 * @param sequence the number of the sender's update, from 1
 * @param shares its load by endpoint
 * @param demands its demand by service
 */
public record LoadUpdate(long sequence, List<Share> shares, List<Demand> demands) implements PeerMessage {

	/**
	 * The load at one endpoint.
	 *
	 * @param endpoint the endpoint's start as text
	 * @param active requests that have not ended
	 * @param prefillMillis the prefill time of prompts whose prefill has not completed,
	 * ms, without deduction of what has been done
	 * @param tokens KV-cache tokens in memory
	 * @param oldestMillis the time since the oldest of these prompts was sent, ms
	 * @param doneMillis the time since the prefill of a prompt last completed, ms, or -1
	 * if none has
	 * @param helping requests of other endpoints whose prompts it helps to prefill
	 * @param pauseMillis the longest pause that its most sensitive stream permits, ms, or
	 * {@link EndpointLoad#ANY_PAUSE}
	 */
	public record Share(String endpoint, int active, int prefillMillis, long tokens, int oldestMillis, int doneMillis,
			int helping, int pauseMillis) {

		/** No prefill has completed recently. */
		public static final int NEVER = -1;

		static Share none(String endpoint) {
			return new Share(endpoint, 0, 0, 0, 0, NEVER, 0, EndpointLoad.ANY_PAUSE);
		}

		/**
		 * Subtracts a part of this sum. The strictest pause and the ages remain, since
		 * the sum does not say which daemon they come from.
		 * @param part the part
		 * @return the rest
		 */
		Share minus(Share part) {
			return new Share(this.endpoint, this.active - part.active, this.prefillMillis - part.prefillMillis,
					this.tokens - part.tokens, this.oldestMillis, this.doneMillis, this.helping - part.helping,
					this.pauseMillis);
		}

		boolean idle() {
			return this.active == 0 && this.prefillMillis == 0 && this.tokens == 0;
		}

		/**
		 * Whether this share equals another, apart from the ages.
		 * @param other another share of the same endpoint
		 * @return true if no work began or ended between them
		 */
		boolean sameWork(Share other) {
			return this.active == other.active && this.prefillMillis == other.prefillMillis
					&& this.tokens == other.tokens && this.helping == other.helping
					&& this.pauseMillis == other.pauseMillis;
		}

		/**
		 * The same load some time later.
		 * @param millis the time
		 * @return the share with increased ages
		 */
		Share aged(long millis) {
			int older = (int) millis;
			return new Share(this.endpoint, this.active, this.prefillMillis, this.tokens, this.oldestMillis + older,
					(this.doneMillis == NEVER) ? NEVER : this.doneMillis + older, this.helping, this.pauseMillis);
		}

	}

	/**
	 * The demand for one service.
	 *
	 * @param service the service
	 * @param shortActive short requests that have not ended
	 * @param waiting long prompts that wait to be sent
	 * @param waitingMillis the prefill time of these, ms
	 * @param arrivedMillis the slot time of the short requests that arrived in the last
	 * second, ms; 0 from daemons that don't report it
	 */
	public record Demand(String service, int shortActive, int waiting, int waitingMillis, int arrivedMillis) {
	}

}
