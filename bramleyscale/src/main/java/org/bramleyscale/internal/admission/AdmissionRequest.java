package org.bramleyscale.internal.admission;

import java.time.Duration;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;

/**
 * The properties of a request that admission depends on.
 *
 * @param id the request's id
 * @param account the client account that sent it
 * @param service the requested service
 * @param promptTokens estimated tokens of the prompt; 0 for a plain service
 * @param maxTokens the maximum number of answer tokens; 0 for a plain service
 * @param urgent whether the service is urgent
 * @param timeLeft time left until the request's deadline
 * @param predictedFirstToken predicted time to the first token if sent now
 * @param predictedFinish predicted time to the last token if sent now
 */
public record AdmissionRequest(RequestId id, ClientAccountId account, ServiceName service, int promptTokens,
		int maxTokens, boolean urgent, Duration timeLeft, Duration predictedFirstToken, Duration predictedFinish) {

	public long tokens() {
		return (long) this.promptTokens + this.maxTokens;
	}

}
