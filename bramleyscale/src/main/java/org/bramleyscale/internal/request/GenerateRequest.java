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
 * @param id the id the caller brought, or empty if this daemon shall issue one
 * @param account who asks
 * @param service the service whose endpoints serve the model
 * @param model the model
 * @param prompt the prompt's text
 * @param maxTokens the largest number of answer tokens
 * @param repeatable whether it may run more than once
 * @param timeLeft how long it may take
 */
public record GenerateRequest(Optional<RequestId> id, ClientAccountId account, ServiceName service, ModelName model,
		String prompt, int maxTokens, boolean repeatable, Duration timeLeft) {
}
