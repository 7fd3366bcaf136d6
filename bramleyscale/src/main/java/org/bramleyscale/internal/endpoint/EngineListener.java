package org.bramleyscale.internal.endpoint;

import org.bramleyscale.ServingException;

/**
 * Receives the events of one attempt at an engine.
 *
 * <p>
 * Called on the scheduler's thread. After {@code completed} or {@code failed} no method
 * is called. Frames may arrive late, out of order or repeatedly; the listener checks
 * them.
 */
public interface EngineListener {

	/**
	 * The engine accepted the request; from now on it counts as possibly run.
	 */
	void accepted();

	void frame(EngineFrame frame);

	void completed(EngineUsage usage);

	/**
	 * The attempt ended without completing.
	 * @param failure the failure; its {@link ServingException#ran()} states whether the
	 * engine started: {@code NO} only if no byte was sent or the engine itself refused
	 */
	void failed(ServingException failure);

}
