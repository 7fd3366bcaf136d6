package org.bramleyscale.internal.request;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Receives a plain service's reply for one caller.
 *
 * <p>
 * Called on the scheduler's thread; exactly one of {@code completed} and {@code failed}
 * is called.
 */
public interface PlainSink {

	void admitted(RequestId id);

	void completed(ServiceReply reply);

	void failed(ServingException failure);

}
