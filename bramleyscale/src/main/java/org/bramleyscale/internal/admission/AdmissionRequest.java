package org.bramleyscale.internal.admission;

import java.time.Duration;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;

/**
 * What matters of a request for admission.
 *
 * @param id the request
 * @param account who asks
 * @param service what is asked
 * @param promptTokens estimated tokens of the prompt; 0 for a plain service
 * @param maxTokens the largest number of answer tokens; 0 for a plain service
 * @param urgent whether the service is urgent
 * @param timeLeft how long it may still take
 * @param predictedFirstToken predicted time to the first token if sent now
 * @param predictedFinish predicted time to the last token if sent now
 */
public record AdmissionRequest(RequestId id, ClientAccountId account, ServiceName service, int promptTokens,
		int maxTokens, boolean urgent, Duration timeLeft, Duration predictedFirstToken, Duration predictedFinish) {

	public long tokens() {
		return (long) this.promptTokens + this.maxTokens;
	}

}
