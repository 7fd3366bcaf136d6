package org.bramleyscale.internal.configuration;

import java.util.List;

/**
 * How a change ended.
 *
 * <p>
 * Implementations are immutable and safe for use by multiple threads.
 */
public sealed interface ChangeResult {

	/**
	 * The change is stored in the platform and will not be reverted.
	 *
	 * @param version the version that it made
	 * @param holders how many daemons are known to hold it, the one that answers included
	 * @param members how many daemons there should be
	 * @param spread whether as many daemons hold it as are asked for before an answer; if
	 * not, the time for waiting ran out
	 */
	record Accepted(long version, int holders, int members, boolean spread) implements ChangeResult {
	}

	/**
	 * The change was made from a version that is no longer the newest; nothing was
	 * changed.
	 *
	 * @param base the version that the change was made from
	 * @param current the newest version
	 * @param theirs what others changed from the base to the newest version
	 * @param yours what this change would have changed from the base
	 * @param complete whether the base is still known; if not, theirs is empty and yours
	 * is compared with the newest version
	 */
	record Conflict(long base, long current, List<EntryChange> theirs, List<EntryChange> yours,
			boolean complete) implements ChangeResult {

		public Conflict {
			theirs = List.copyOf(theirs);
			yours = List.copyOf(yours);
		}

	}

	/**
	 * The change can't become a configuration; nothing was changed.
	 *
	 * @param problems everything that is wrong
	 */
	record Rejected(List<ConfigurationProblem> problems) implements ChangeResult {

		public Rejected {
			problems = List.copyOf(problems);
		}

	}

}
