package org.bramleyscale.standins.engine;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Reads one attempt. Called on the scheduler's thread.
 */
public interface AttemptListener {

	void accepted();

	void frame(long offset, int tokens, String text);

	void done(EngineUsage usage);

	void failed(ErrorCode code, Ran ran, String message);

}
