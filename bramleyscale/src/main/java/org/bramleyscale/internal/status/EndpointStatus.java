package org.bramleyscale.internal.status;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;

/**
 * One endpoint as the answering daemon sees it.
 *
 * @param name the endpoint
 * @param service the service it offers
 * @param dataCentre where it runs
 * @param state whether it can be used
 * @param running requests being worked on, by its latest report
 * @param waiting requests accepted but not begun, by its latest report
 * @param kvUsed KV memory in use, in tokens
 * @param kvCapacity KV memory in all, in tokens; 0 for a plain service
 * @param reportAgeMillis the age of its latest report; -1 if it never reported
 */
public record EndpointStatus(EndpointId name, ServiceName service, DataCentre dataCentre, State state, int running,
		int waiting, long kvUsed, long kvCapacity, long reportAgeMillis) {

	/**
	 * Whether an endpoint can be used.
	 */
	public enum State {

		/** It gets work. */
		USABLE,
		/** It answers late or badly, so it only gets a trickle of work. */
		EJECTED,
		/** It finishes what it has and gets nothing new. */
		LEAVING,
		/** Its data centre is evacuated: it finishes what it has and gets nothing new. */
		EVACUATED,
		/** It doesn't answer. */
		SILENT

	}

}
