package org.bramleyscale.internal.endpoint;

import org.bramleyscale.ServingException;

/**
 * Takes the events of one attempt at an engine.
 *
 * <p>
 * Called on the scheduler's thread. After {@code completed} or {@code failed} nothing
 * more is called. Frames may be late, crossed or repeated; the listener checks them.
 */
public interface EngineListener {

	/**
	 * The engine accepted the request; from now on it may have run.
	 */
	void accepted();

	void frame(EngineFrame frame);

	void completed(EngineUsage usage);

	/**
	 * The attempt ended without completion.
	 * @param failure says with {@link ServingException#ran()} whether the engine began:
	 * {@code NO} only if no byte was sent or the engine itself refused
	 */
	void failed(ServingException failure);

}
