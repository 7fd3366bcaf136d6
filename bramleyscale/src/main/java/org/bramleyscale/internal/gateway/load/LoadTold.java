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
