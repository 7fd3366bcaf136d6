package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Permit;

/**
 * The endpoint selected for one attempt, with the permits acquired for it.
 *
 * @param endpoint the endpoint
 * @param permits the permits acquired for the attempt
 * @param holds the hold ids of a group, as {@code endpoint=hold}, beginning with this
 * endpoint's
 * @param predictedFirstToken predicted time to the first token, or null if unknown
 */
record Assignment(EndpointEntry endpoint, List<Permit> permits, List<String> holds, Duration predictedFirstToken) {

	void firstTokenReceived() {
		this.permits.forEach(Permit::firstTokenReceived);
	}

	void close() {
		this.permits.forEach(Permit::close);
	}

}
