package org.bramleyscale.internal.status;

import java.io.IOException;
import java.io.StringWriter;
import java.util.Collections;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/**
 * Writes the metrics in the Prometheus text format and as JSON.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class MetricsExport {

	/** The media type of {@link #text()}. */
	public static final String TEXT_TYPE = TextFormat.CONTENT_TYPE_004;

	private final MetricRegistry metrics;

	private final DropwizardExports exports;

	public MetricsExport(MetricRegistry metrics) {
		this.metrics = metrics;
		this.exports = new DropwizardExports(metrics);
	}

	/**
	 * The metrics as text.
	 * @return the text
	 * @throws IOException if they can't be written
	 */
	public String text() throws IOException {
		StringWriter writer = new StringWriter();
		TextFormat.write004(writer, Collections.enumeration(this.exports.collect()));
		return writer.toString();
	}

	String json() throws IOException {
		return OperatorJson.write(this.metrics);
	}

}
