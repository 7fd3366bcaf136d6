package org.bramleyscale.internal.gateway.request;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.eligibility.EndpointQuota;
import org.bramleyscale.internal.gateway.eligibility.Reservation;

/**
 * Records what is reserved, sent and cancelled. Every request is permitted when it is
 * placed; a reserved one can be sent unless the test says otherwise.
 */
final class RecordingQuota implements EndpointQuota {

	final List<String> calls = new ArrayList<>();

	boolean reservationsValid = true;

	@Override
	public boolean permits(EndpointStart endpoint) {
		return true;
	}

	@Override
	public void sent(EndpointStart endpoint) {
		this.calls.add("sent " + endpoint.id().value());
	}

	@Override
	public boolean permitsHelp(EndpointStart endpoint) {
		return true;
	}

	@Override
	public void helpRequested(EndpointStart endpoint) {
		this.calls.add("part " + endpoint.id().value());
	}

	@Override
	public boolean leavesLanes(EndpointStart endpoint) {
		return false;
	}

	@Override
	public Reservation reserve(EndpointStart endpoint, boolean part) {
		this.calls.add("reserve " + endpoint.id().value());
		return new Reservation() {

			@Override
			public boolean use() {
				RecordingQuota.this.calls.add("use " + endpoint.id().value());
				return RecordingQuota.this.reservationsValid;
			}

			@Override
			public void cancel() {
				RecordingQuota.this.calls.add("cancel " + endpoint.id().value());
			}

		};
	}

}
