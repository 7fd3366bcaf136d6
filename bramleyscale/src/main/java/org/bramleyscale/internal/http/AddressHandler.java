package org.bramleyscale.internal.http;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.address.AddressResolver;
import org.bramleyscale.internal.configuration.AccountRule;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Tells a caller which entries to call.
 *
 * <p>
 * Answers also while the configuration isn't fresh: a caller that asks the entry it knows
 * must still be sent to the others. Safe for use by multiple threads.
 */
final class AddressHandler implements Handler {

	private static final ObjectWriter WRITER = JsonMapper.builder().build().writer();

	private final EntryGate gate;

	private final AddressResolver addresses;

	AddressHandler(EntryGate gate, AddressResolver addresses) {
		this.gate = gate;
		this.addresses = addresses;
	}

	@Override
	public void handle(Context context) throws Exception {
		AccountRule account = this.gate.account(context);
		this.gate.run(context, (exchange) -> {
			AddressAnswer answer = this.addresses.addresses(account.name());
			exchange.finished();
			exchange.reply((answering) -> answering.getResponse().send(ErrorBody.JSON, json(answer)));
			return EntryServer.NOTHING;
		});
	}

	private static byte[] json(AddressAnswer answer) throws JsonProcessingException {
		return WRITER.writeValueAsBytes(new Body(answer.entries(), answer.keepFor().toMillis()));
	}

	/**
	 * The form of the answer.
	 */
	record Body(List<AddressAnswer.Entry> entries, long keepForMillis) {
	}

}
