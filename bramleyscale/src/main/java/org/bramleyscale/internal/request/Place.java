package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Permit;

/**
 * The endpoint chosen for one attempt.
 *
 * @param endpoint the endpoint
 * @param permits what is taken of grants for it
 * @param holds the hold ids of a group, as {@code endpoint=hold}, this endpoint's first
 * @param predictedFirstToken predicted time to the first token, or null if unknown
 */
record Place(EndpointEntry endpoint, List<Permit> permits, List<String> holds, Duration predictedFirstToken) {

	void firstTokenReceived() {
		this.permits.forEach(Permit::firstTokenReceived);
	}

	void close() {
		this.permits.forEach(Permit::close);
	}

}
