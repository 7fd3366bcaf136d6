package org.bramleyscale.internal.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.google.common.hash.Hashing;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;

/**
 * A fixed configuration: the model {@code assist} of service {@code hire}, the plain
 * service {@code yard}, an account {@code desk} for both, {@code boards} for the plain
 * one and {@code quotes} for the model only.
 */
final class FakeConfiguration implements ConfigurationSource {

	static final String DESK_KEY = "desk-key";

	static final String BOARDS_KEY = "boards-key";

	static final String QUOTES_KEY = "quotes-key";

	private static final ServiceName HIRE = new ServiceName("hire");

	private static final ServiceName YARD = new ServiceName("yard");

	private static final DataCentre RAWANG = new DataCentre("rawang");

	volatile boolean fresh = true;

	@Override
	public Configuration current() {
		ModelName model = new ModelName("assist");
		Register register = new Register(List.of(), List.of(new ModelEntry(model, 1000)),
				List.of(new ServiceEntry(HIRE, ServiceEntry.Kind.MODEL, Duration.ofSeconds(20), true),
						new ServiceEntry(YARD, ServiceEntry.Kind.PLAIN, Duration.ofSeconds(5), false)),
				List.of(new EndpointEntry(new EndpointId("engine-1"), HIRE, RAWANG, "127.0.0.1:1", List.of(model), true,
						false)));
		return new Configuration(1, register, new Rules(Set.of(), List.of(account("desk", DESK_KEY, List.of()),
				account("boards", BOARDS_KEY, List.of(YARD)), account("quotes", QUOTES_KEY, List.of(HIRE)))));
	}

	private static AccountRule account(String name, String key, List<ServiceName> services) {
		String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
		return new AccountRule(new ClientAccountId(name), hash, 1, 1000, 1000, services, 2);
	}

	@Override
	public boolean fresh() {
		return this.fresh;
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
	}

}
