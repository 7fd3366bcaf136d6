package org.bramleyscale.internal.http;

import org.bramleyscale.internal.status.StateDump;

/**
 * The state of the server towards callers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class EntryDump implements StateDump {

	private final Answers answers;

	EntryDump(Answers answers) {
		this.answers = answers;
	}

	@Override
	public String name() {
		return "entry";
	}

	@Override
	public Object dump() {
		return new Counts(this.answers.openStreams());
	}

	/**
	 * The form of the dump.
	 *
	 * @param openStreams answers being streamed
	 */
	record Counts(int openStreams) {
	}

}
