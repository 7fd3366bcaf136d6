package org.bramleyscale.internal.request;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Takes a plain service's answer on its way to one caller.
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
