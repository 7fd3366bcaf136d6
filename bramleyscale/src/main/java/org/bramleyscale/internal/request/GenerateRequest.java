package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;

/**
 * A caller's request for generated tokens, authenticated and parsed.
 *
 * @param id the id chosen by the caller, or empty if this daemon is to issue one
 * @param account the account of the caller
 * @param service the service whose endpoints serve the model
 * @param model the model
 * @param prompt the prompt's text
 * @param maxTokens the maximum number of answer tokens
 * @param repeatable whether it may run more than once
 * @param timeLeft the time until its deadline
 */
public record GenerateRequest(Optional<RequestId> id, ClientAccountId account, ServiceName service, ModelName model,
		String prompt, int maxTokens, boolean repeatable, Duration timeLeft) {
}
