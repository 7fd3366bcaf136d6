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
 * Works out, once for each request, what it will need.
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
	 * Refuses what no endpoint and no group of endpoints can ever hold.
	 * @param record the request, with its placement
	 * @param candidates the endpoints
	 * @throws ServingException the refusal
	 */
	void checkSize(RequestRecord record, List<Candidate> candidates) throws ServingException {
		if (!(record.work() instanceof Work.Generation generation)) {
			return;
		}
		long needed = record.placement().kvTokens();
		Configuration configuration = this.source.current();
		long context = configuration.model(generation.request().model()).map(ModelEntry::contextTokens).orElse(0);
		if (context > 0 && needed > context) {
			throw tooLarge(needed, "model '" + generation.request().model() + "' takes " + context);
		}
		if (Sizes.exceedsEach(needed, candidates)) {
			long largestGroupTokens = this.reservations.largestGroupTokens(record.service(),
					generation.request().model());
			if (largestGroupTokens > 0 && needed > largestGroupTokens) {
				throw tooLarge(needed, "the engines of service '" + record.service() + "' take " + largestGroupTokens);
			}
		}
	}

	/**
	 * What admission is asked. Without room now there is no prediction; the times are
	 * zero then, and only admission's own view of the queue counts.
	 * @param record the request, with its placement
	 * @param choice where it would go now
	 * @param timeLeft how long it may still take
	 * @return the request for admission
	 */
	AdmissionRequest admissionRequest(RequestRecord record, RoutingChoice choice, Duration timeLeft) {
		Placement placement = record.placement();
		Duration first = Sizes.orZero(Sizes.known(choice.predictedFirstTokenNanos()));
		Duration finish = Sizes.orZero(Sizes.known(choice.predictedFinishNanos()));
		return new AdmissionRequest(record.id(), record.account(), record.service(), placement.promptTokens(),
				placement.maxTokens(), placement.urgent(), timeLeft, first, finish);
	}

	private static ServingException tooLarge(long needed, String limit) {
		return new ServingException(ErrorCode.TOO_LARGE, Ran.NO, Step.ADMIT, "self",
				"prompt and answer need about " + needed + " tokens; " + limit);
	}

}
