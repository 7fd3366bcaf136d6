package org.bramleyscale.internal.gateway.crash;

import org.bramleyscale.Incarnation;

/**
 * What this daemon knows of the daemons that have claimed trials. Confined to the
 * scheduler's thread.
 */
public interface TrialHolders {

	/**
	 * This start of this daemon.
	 * @return the start
	 */
	Incarnation self();

	/**
	 * Whether a daemon that has claimed a trial may still be running.
	 * @param holder the start of that daemon
	 * @return what is known of it
	 */
	State state(Incarnation holder);

	/**
	 * The states of a daemon that has claimed a trial.
	 */
	enum State {

		/** It may run, and report the outcome. */
		MAY_RUN,

		/** No message of its VM has arrived since this daemon started. */
		UNKNOWN,

		/** It has certainly ended, and reports nothing any more. */
		ENDED

	}

}
