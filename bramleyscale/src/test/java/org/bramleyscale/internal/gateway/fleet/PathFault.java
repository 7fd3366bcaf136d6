package org.bramleyscale.internal.gateway.fleet;

/**
 * How the network between a daemon and all endpoints fails.
 */
public enum PathFault {

	/** It doesn't. */
	NONE(false, true, true),

	/** All packets are dropped. */
	HANGING(false, false, false),

	/** Connections hang, and new ones are refused. */
	REFUSED(true, false, false),

	/** Connections are reset, and new ones are refused. */
	RESET(true, false, false),

	/** Requests arrive on connections that exist, and nothing comes back. */
	ONE_WAY(false, true, false),

	/** Connections continue to work, and new ones are refused. */
	LIVING_ON(true, true, true);

	final boolean refusesNew;

	final boolean carriesRequests;

	final boolean carriesAnswers;

	PathFault(boolean refusesNew, boolean carriesRequests, boolean carriesAnswers) {
		this.refusesNew = refusesNew;
		this.carriesRequests = carriesRequests;
		this.carriesAnswers = carriesAnswers;
	}

}
