package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Scheduler;

/**
 * What a proposal needs of its daemon. Confined to the scheduler's thread.
 */
interface ProposalHost {

	VmId self();

	Scheduler scheduler();

	boolean majorityHeard();

	Snapshot held();

	/**
	 * The content of a version.
	 * @param version the version
	 * @return the content, or empty if it isn't held or remembered
	 */
	Optional<Snapshot> at(long version);

	/**
	 * Waits until a version is held.
	 * @param version the version
	 * @param limit how long to wait
	 * @return true once it is held, false if it isn't in time
	 */
	CompletableFuture<Boolean> holding(long version, Duration limit);

	/**
	 * Takes note of a head.
	 * @param head the head
	 */
	void headSeen(Head head);

	/**
	 * Puts a version in force whose head was just written.
	 * @param old the head before
	 * @param head the head
	 * @param next the version
	 */
	void written(Head old, Head head, Snapshot next);

	/**
	 * Waits until other daemons hold a version.
	 * @param version the version
	 * @return the answer to the operator
	 */
	CompletableFuture<ChangeResult.Accepted> spread(long version);

}
