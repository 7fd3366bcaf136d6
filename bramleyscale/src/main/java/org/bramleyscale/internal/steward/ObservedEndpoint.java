package org.bramleyscale.internal.steward;

import java.util.List;

import org.bramleyscale.ModelName;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * The desired state of an endpoint and its latest report.
 *
 * @param entry the endpoint's entry in the register
 * @param report the latest report
 */
record ObservedEndpoint(EndpointEntry entry, LoadReport report) {

	List<String> missing() {
		return desired().stream().filter((model) -> !loaded(model)).toList();
	}

	List<String> surplus() {
		List<String> desired = desired();
		return this.report.models().stream().filter((model) -> !desired.contains(model)).toList();
	}

	boolean loaded(String model) {
		return this.report.models().contains(model);
	}

	boolean desires(String model) {
		return desired().contains(model);
	}

	private List<String> desired() {
		return this.entry.models().stream().map(ModelName::value).toList();
	}

}
