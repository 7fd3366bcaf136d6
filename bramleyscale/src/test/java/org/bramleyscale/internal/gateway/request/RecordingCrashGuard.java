package org.bramleyscale.internal.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.CrashCause;
import org.bramleyscale.internal.gateway.crash.CrashCauses;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.crash.Verdict;

/**
 * Records which endpoints have responded. Every request passes; if the test says so, only
 * as a trial, of which there is one.
 */
final class RecordingCrashGuard implements CrashGuard {

	final List<EndpointStart> answeredEndpoints = new ArrayList<>();

	/** What was recorded of requests that ended. */
	final List<String> outcomes = new ArrayList<>();

	boolean trialsOnly;

	boolean blocked;

	private boolean claimed;

	@Override
	public Verdict verdict(CrashCauses causes) {
		if (this.blocked) {
			return Verdict.BLOCKED;
		}
		if (!this.trialsOnly) {
			return Verdict.CLEAR;
		}
		return this.claimed ? Verdict.WAIT : Verdict.TRIAL;
	}

	@Override
	public void claimTrial(CrashCauses causes, Consumer<Boolean> granted) {
		this.claimed = true;
		granted.accept(true);
	}

	@Override
	public void connectionLost(CrashCauses causes, Backend endpoint) {
		// Only responses are recorded here.
	}

	@Override
	public void trialFailed(CrashCauses causes, Backend endpoint) {
		// Its outcome isn't of interest.
	}

	@Override
	public void trialLost(CrashCauses causes) {
		// These tests have no trials without an outcome.
	}

	@Override
	public void trialNotMade(CrashCauses causes) {
		// Only claims are counted.
	}

	@Override
	public void completed(CrashCauses causes) {
		this.outcomes.add("completed");
	}

	@Override
	public void survived(CrashCauses causes) {
		this.outcomes.add("survived");
	}

	@Override
	public void closed(CrashCauses causes, EndpointStart endpoint) {
		this.outcomes.add("closed");
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
		this.answeredEndpoints.add(endpoint);
	}

}
