package org.bramleyscale.standins.engine;

/**
 * What an engine has done, for checks after a run.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class EngineCounts {

	private long started;

	private long startedWhileLeaving;

	private long refused;

	private long cancelled;

	private long ended;

	private long fenced;

	void started(boolean leaving) {
		this.started++;
		if (leaving) {
			this.startedWhileLeaving++;
		}
	}

	void refused() {
		this.refused++;
	}

	void cancelled() {
		this.cancelled++;
	}

	void ended() {
		this.ended++;
	}

	void fenced() {
		this.fenced++;
	}

	/**
	 * The counts as they are now.
	 * @return a copy
	 */
	public Snapshot snapshot() {
		return new Snapshot(this.started, this.startedWhileLeaving, this.refused, this.cancelled, this.ended,
				this.fenced);
	}

	/**
	 * Counts at one moment.
	 *
	 * @param started generations taken
	 * @param startedWhileLeaving of these, taken after the engine announced to stop
	 * @param refused generations refused
	 * @param cancelled generations cancelled before their end
	 * @param ended generations that gave their memory back
	 * @param fenced orders refused for their old number
	 */
	public record Snapshot(long started, long startedWhileLeaving, long refused, long cancelled, long ended,
			long fenced) {
	}

}
