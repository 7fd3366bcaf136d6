package org.bramleyscale.internal.status;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.VmId;

/**
 * What the operator's HTTP API needs of the daemon.
 *
 * <p>
 * May be called from any thread. Futures complete normally or with a
 * {@link org.bramleyscale.ServingException}.
 */
public interface OperatorBackend {

	/**
	 * What this daemon knows of the fleet.
	 * @return the summary
	 */
	CompletableFuture<StatusSummary> status();

	/**
	 * The state of each slice of this daemon.
	 * @return the states by slice name, writable as JSON
	 */
	CompletableFuture<Map<String, Object>> dump();

	/**
	 * Takes a VM out of use: its daemon finishes what it has and takes nothing new.
	 * @param vm the VM, this one or another
	 * @return what became of the wish
	 */
	CompletableFuture<DrainResult> drain(VmId vm);

	/**
	 * Reads a document as it is in force.
	 * @param document which document
	 * @return the document with its version
	 */
	CompletableFuture<ShownDocument> show(DocumentKind document);

	/**
	 * Changes a document.
	 * @param document which document
	 * @param yaml the whole new document
	 * @param baseVersion the version from which it was made
	 * @param changeId names this change; a repetition under the same id changes nothing
	 * and gets the result of the first
	 * @return what became of the change
	 */
	CompletableFuture<ApplyResult> apply(DocumentKind document, String yaml, long baseVersion, String changeId);

}
