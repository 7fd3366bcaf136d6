package org.bramleyscale.internal.request;

import java.time.Duration;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.ServiceEntry;

/**
 * Checks new requests against the current configuration.
 *
 * <p>
 * Each refusal states that the request did not run. Confined to the scheduler's thread.
 */
final class AccessCheck {

	private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(2);

	private final ConfigurationSource source;

	AccessCheck(ConfigurationSource source) {
		this.source = source;
	}

	/**
	 * Checks a request.
	 * @param work the requested work
	 * @return the requested service
	 * @throws ServingException if the request is refused
	 */
	ServiceEntry check(Work work) throws ServingException {
		if (!this.source.fresh()) {
			throw new ServingException(ErrorCode.NOT_READY, Ran.NO, Step.ADMIT, "self",
					"this daemon can't confirm that its configuration is current", NOT_READY_RETRY_AFTER);
		}
		Configuration configuration = this.source.current();
		ServiceEntry service = service(configuration, work);
		checkAccount(configuration, work);
		if (work instanceof Work.Generation generation) {
			checkModel(configuration, generation.request());
		}
		if (work.timeLeft().isNegative() || work.timeLeft().isZero()) {
			throw refusal(ErrorCode.DEADLINE_TOO_SHORT,
					"the request's deadline has passed; time left: " + work.timeLeft());
		}
		return service;
	}

	private static ServiceEntry service(Configuration configuration, Work work) throws ServingException {
		ServiceName name = work.service();
		ServiceEntry.Kind expected = (work instanceof Work.Generation) ? ServiceEntry.Kind.MODEL
				: ServiceEntry.Kind.PLAIN;
		ServiceEntry service = configuration.service(name).orElse(null);
		if (service == null) {
			throw refusal(ErrorCode.UNKNOWN_SERVICE, "the register has no service '" + name + "'");
		}
		if (service.kind() != expected) {
			throw refusal(ErrorCode.UNKNOWN_SERVICE,
					"service '" + name + "' is of kind " + service.kind() + ", not " + expected);
		}
		return service;
	}

	private static void checkAccount(Configuration configuration, Work work) throws ServingException {
		AccountRule account = configuration.account(work.account()).orElse(null);
		if (account == null) {
			throw refusal(ErrorCode.UNAUTHORIZED, "the rules have no account '" + work.account() + "'");
		}
		if (!account.mayUse(work.service())) {
			throw refusal(ErrorCode.FORBIDDEN,
					"account '" + work.account() + "' may not use service '" + work.service() + "'");
		}
	}

	private static void checkModel(Configuration configuration, GenerateRequest request) throws ServingException {
		ModelName model = request.model();
		boolean served = configuration.endpoints(request.service())
			.stream()
			.anyMatch((endpoint) -> endpoint.models().contains(model));
		if (configuration.model(model).isEmpty() || !served) {
			throw refusal(ErrorCode.UNKNOWN_MODEL,
					"service '" + request.service() + "' has no endpoint with model '" + model + "'");
		}
		if (request.maxTokens() <= 0) {
			throw refusal(ErrorCode.BAD_REQUEST,
					"the number of answer tokens must be positive, was " + request.maxTokens());
		}
	}

	private static ServingException refusal(ErrorCode code, String message) {
		return new ServingException(code, Ran.NO, Step.ADMIT, "self", message);
	}

}
