package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.admission.Admission;
import org.bramleyscale.internal.admission.AdmissionRequest;

/**
 * Admits requests in order of arrival, up to a maximum queue length.
 */
final class FakeAdmission implements Admission {

	final Map<RequestId, Long> settled = new HashMap<>();

	final List<RequestId> withdrawn = new ArrayList<>();

	int maxWaiting = 1000;

	private final List<RequestId> queue = new ArrayList<>();

	@Override
	public void admit(AdmissionRequest request) throws ServingException {
		if (this.queue.size() >= this.maxWaiting) {
			throw new ServingException(ErrorCode.OVERLOADED, Ran.NO, Step.ADMIT, "self", "full", Duration.ofSeconds(1));
		}
		this.queue.add(request.id());
	}

	@Override
	public Optional<RequestId> next(Predicate<RequestId> startable) {
		for (RequestId id : this.queue) {
			if (startable.test(id)) {
				this.queue.remove(id);
				return Optional.of(id);
			}
		}
		return Optional.empty();
	}

	@Override
	public void withdraw(RequestId id) {
		this.queue.remove(id);
		this.withdrawn.add(id);
	}

	@Override
	public void settle(RequestId id, long tokens) {
		this.settled.put(id, tokens);
	}

	@Override
	public int waiting() {
		return this.queue.size();
	}

	@Override
	public void setShare(ClientAccountId account, double tokensPerSecond, Duration validFor) {
	}

}
