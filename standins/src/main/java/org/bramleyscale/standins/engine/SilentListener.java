package org.bramleyscale.standins.engine;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Reads an attempt whose caller was lost.
 */
final class SilentListener implements AttemptListener {

	@Override
	public void accepted() {
	}

	@Override
	public void frame(long offset, int tokens, String text) {
	}

	@Override
	public void done(EngineUsage usage) {
	}

	@Override
	public void failed(ErrorCode code, Ran ran, String message) {
	}

}
