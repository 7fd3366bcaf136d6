package org.bramleyscale.internal.gateway.load;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * What a daemon has under way, told to its peers several times a second.
 *
 * @param sequence counts the sender's tellings, from 1
 * @param shares its work by endpoint
 * @param demands its demand by service
 */
public record LoadTold(long sequence, List<Share> shares, List<Demand> demands) implements PeerMessage {

	/**
	 * Work at one endpoint.
	 *
	 * @param endpoint the endpoint's start as text
	 * @param active requests that haven't ended
	 * @param readMillis unread prompts in ms of reading, whatever has been read of them
	 * @param tokens context in memory
	 * @param oldestMillis for how long the oldest unread prompt has been there
	 * @param doneMillis how long ago a prompt was last read to its end, or -1 if none was
	 * @param helping requests of other endpoints whose prompts it helps to read
	 * @param pauseMillis the strictest pause of the streams written there, ms, or
	 * {@link EndpointLoad#ANY_PAUSE}
	 */
	public record Share(String endpoint, int active, int readMillis, long tokens, int oldestMillis, int doneMillis,
			int helping, int pauseMillis) {

		/** Nothing was read to its end lately. */
		public static final int NEVER = -1;

		static Share nothing(String endpoint) {
			return new Share(endpoint, 0, 0, 0, 0, NEVER, 0, EndpointLoad.ANY_PAUSE);
		}

		/**
		 * What is left of this sum without a part of it. The strictest pause and the ages
		 * stay, since nobody knows whose they were.
		 * @param part the part
		 * @return the rest
		 */
		Share without(Share part) {
			return new Share(this.endpoint, this.active - part.active, this.readMillis - part.readMillis,
					this.tokens - part.tokens, this.oldestMillis, this.doneMillis, this.helping - part.helping,
					this.pauseMillis);
		}

		boolean idle() {
			return this.active == 0 && this.readMillis == 0 && this.tokens == 0;
		}

		/**
		 * Whether this says the same as another telling, but for what passes with time.
		 * @param other the other telling of the same endpoint
		 * @return true if nothing began or ended between them
		 */
		boolean sameWork(Share other) {
			return this.active == other.active && this.readMillis == other.readMillis && this.tokens == other.tokens
					&& this.helping == other.helping && this.pauseMillis == other.pauseMillis;
		}

		/**
		 * The same work some time later.
		 * @param millis the time
		 * @return the share with greater ages
		 */
		Share aged(long millis) {
			int older = (int) millis;
			return new Share(this.endpoint, this.active, this.readMillis, this.tokens, this.oldestMillis + older,
					(this.doneMillis == NEVER) ? NEVER : this.doneMillis + older, this.helping, this.pauseMillis);
		}

	}

	/**
	 * Demand for one service.
	 *
	 * @param service the service
	 * @param shortActive short requests that haven't ended
	 * @param waiting long prompts that aren't sent yet
	 * @param waitingMillis their reading, ms
	 */
	public record Demand(String service, int shortActive, int waiting, int waitingMillis) {
	}

}
