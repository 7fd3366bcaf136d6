package org.bramleyscale.internal.gateway.region;

import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.CrashCause;
import org.bramleyscale.internal.gateway.crash.CrashCauses;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.crash.Verdict;

/**
 * Lets every request pass. Stateless and safe for use by multiple threads.
 */
final class PassingCrashGuard implements CrashGuard {

	@Override
	public Verdict verdict(CrashCauses causes) {
		return Verdict.CLEAR;
	}

	@Override
	public void claimTrial(CrashCauses causes, Consumer<Boolean> granted) {
		granted.accept(true);
	}

	@Override
	public void connectionLost(CrashCauses causes, Backend endpoint) {
		// Crashes are not traced to requests here.
	}

	@Override
	public void completed(CrashCauses causes) {
		// Crashes are not traced to requests here.
	}

	@Override
	public void survived(CrashCauses causes) {
		// Crashes are not traced to requests here.
	}

	@Override
	public void closed(CrashCauses causes, EndpointStart endpoint) {
		// Only responses are recorded here.
	}

	@Override
	public void unreachable(Backend endpoint) {
		// Only responses are recorded here.
	}

	@Override
	public CrashCause refused(CrashCauses causes) {
		return causes.request();
	}

	@Override
	public void answered(EndpointStart endpoint, long sentAt) {
		// Crashes are not traced to requests here.
	}

}
