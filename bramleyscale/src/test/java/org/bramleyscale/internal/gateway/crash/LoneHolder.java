package org.bramleyscale.internal.gateway.crash;

import org.bramleyscale.Incarnation;

/**
 * A daemon that runs without others, after any other start of its own.
 */
final class LoneHolder implements TrialHolders {

	static final Incarnation SELF = Incarnation.parse("d1~b");

	@Override
	public Incarnation self() {
		return SELF;
	}

	@Override
	public State state(Incarnation holder) {
		return holder.equals(SELF) ? State.MAY_RUN : State.ENDED;
	}

}
