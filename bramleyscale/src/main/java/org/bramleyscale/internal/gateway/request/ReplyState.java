package org.bramleyscale.internal.gateway.request;

/**
 * The state of one response to a caller, and the steps that each state allows.
 *
 * <p>
 * Invariants: a response has one head and one end; its end is either handed over whole or
 * an abort; once it has ended, no step has an effect. Confined to the scheduler's thread.
 */
public final class ReplyState {

	private Phase phase = Phase.OPEN;

	/**
	 * Takes a step if the state allows it.
	 * @param step the step
	 * @return whether the step was taken, came too late, or would have made the response
	 * invalid, in which case it must be aborted
	 */
	public Result take(Step step) {
		if (this.phase == Phase.ENDED || (this.phase == Phase.WRITING && step != Step.FLUSH && step != Step.ABORT)) {
			return Result.TOO_LATE;
		}
		Phase next = next(step);
		if (next == null) {
			return Result.ILLEGAL;
		}
		this.phase = next;
		return Result.TAKEN;
	}

	/**
	 * Whether the response is on the wire or aborted.
	 * @return true once nothing more can become of it
	 */
	public boolean ended() {
		return this.phase == Phase.ENDED;
	}

	private Phase next(Step step) {
		return switch (step) {
			case RESPOND -> (this.phase == Phase.OPEN) ? Phase.WRITING : null;
			case START -> (this.phase == Phase.OPEN) ? Phase.STREAMING : null;
			case WRITE -> (this.phase == Phase.STREAMING) ? Phase.STREAMING : null;
			case COMPLETE -> (this.phase == Phase.STREAMING) ? Phase.WRITING : null;
			case FLUSH -> (this.phase == Phase.WRITING) ? Phase.ENDED : null;
			case ABORT -> Phase.ENDED;
		};
	}

	@Override
	public String toString() {
		return this.phase.name();
	}

	/**
	 * What may be done with a response.
	 */
	public enum Step {

		/** A whole response is handed over. */
		RESPOND,

		/** A stream's head is handed over. */
		START,

		/** A part of a stream is handed over. */
		WRITE,

		/** The end of a stream is handed over. */
		COMPLETE,

		/** The last byte is on the wire. */
		FLUSH,

		/** The connection is reset, or its caller has closed it. */
		ABORT

	}

	/**
	 * What became of a step.
	 */
	public enum Result {

		/** It was taken. */
		TAKEN,

		/** The response has its end already. */
		TOO_LATE,

		/** It would make the response invalid. */
		ILLEGAL

	}

	private enum Phase {

		OPEN, STREAMING, WRITING, ENDED

	}

}
