package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.admission.AdmissionRequest;
import org.bramleyscale.internal.admission.TokenEstimator;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;

/**
 * Determines the resource needs of a request, once for each request.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class PlacementPlanner {

	private final ConfigurationSource source;

	private final TokenEstimator estimator;

	private final Reservations reservations;

	PlacementPlanner(RequestPorts ports) {
		this.source = ports.configuration();
		this.estimator = ports.estimator();
		this.reservations = ports.reservations();
	}

	Placement plan(Work work) {
		boolean urgent = this.source.current().urgent(work.service());
		if (!(work instanceof Work.Generation generation)) {
			return new Placement(0, 0, 0, 0, urgent);
		}
		GenerateRequest request = generation.request();
		String prompt = request.prompt();
		int tokens = this.estimator.estimate(request.model(), prompt);
		int prefixChars = Fingerprint.prefixLength(prompt);
		int prefixTokens = (prompt.isEmpty()) ? 0 : (int) ((long) tokens * prefixChars / prompt.length());
		return new Placement(tokens, request.maxTokens(), Fingerprint.prefix(prompt), prefixTokens, urgent);
	}

	/**
	 * Refuses a request that is too large for every endpoint and every group of
	 * endpoints.
	 * @param record the request, with its placement
	 * @param candidates the candidate endpoints
	 * @throws ServingException if the request is too large
	 */
	void checkSize(RequestRecord record, List<Candidate> candidates) throws ServingException {
		if (!(record.work() instanceof Work.Generation generation)) {
			return;
		}
		long needed = record.placement().kvTokens();
		Configuration configuration = this.source.current();
		long context = configuration.model(generation.request().model()).map(ModelEntry::contextTokens).orElse(0);
		if (context > 0 && needed > context) {
			throw tooLarge(needed, "model '" + generation.request().model() + "' accepts at most " + context);
		}
		if (RoutingUtils.exceedsEveryCandidate(needed, candidates)) {
			long largest = this.reservations.largestGroupTokens(record.service(), generation.request().model());
			if (largest > 0 && needed > largest) {
				throw tooLarge(needed, "the engines of service '" + record.service() + "' hold at most " + largest);
			}
		}
	}

	/**
	 * Creates the request for admission. If no endpoint has capacity now, there is no
	 * prediction: both predicted times are zero, and admission decides by its own view of
	 * the queue alone.
	 * @param record the request, with its placement
	 * @param choice the current routing choice
	 * @param timeLeft the time until its deadline
	 * @return the request for admission
	 */
	AdmissionRequest admissionRequest(RequestRecord record, RoutingChoice choice, Duration timeLeft) {
		Placement placement = record.placement();
		Duration first = RoutingUtils.orZero(RoutingUtils.durationOrNull(choice.predictedFirstTokenNanos()));
		Duration finish = RoutingUtils.orZero(RoutingUtils.durationOrNull(choice.predictedFinishNanos()));
		return new AdmissionRequest(record.id(), record.account(), record.service(), placement.promptTokens(),
				placement.maxTokens(), placement.urgent(), timeLeft, first, finish);
	}

	private static ServingException tooLarge(long needed, String limit) {
		return new ServingException(ErrorCode.TOO_LARGE, Ran.NO, Step.ADMIT, "self",
				"prompt and answer need about " + needed + " tokens; " + limit);
	}

}
