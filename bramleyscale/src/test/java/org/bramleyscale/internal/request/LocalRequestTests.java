package org.bramleyscale.internal.request;

import java.util.Map;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.junit.jupiter.api.Test;

class LocalRequestTests {

	private final RequestFixture fixture = new RequestFixture();

	private final DefaultRequestService service = this.fixture.daemon("entry-1");

	private final RecordingSink sink = new RecordingSink();

	@Test
	void streamsAnAnswerWhole() {
		this.service.generate(RequestFixture.quote(null, true), this.sink);
		Truth.assertThat(this.sink.id().toString()).isEqualTo("entry-1~1~_0");
		Truth.assertThat(this.fixture.engines.connections).isEmpty();
		this.fixture.run();
		FakeEngines.Connection engine = this.fixture.engines.last();
		engine.listener.accepted();
		engine.frames(RequestFixture.ANSWER, 0, RequestFixture.ANSWER.length());
		engine.complete(RequestFixture.ANSWER.length());
		Truth.assertThat(this.sink.text.toString()).isEqualTo(RequestFixture.ANSWER);
		Truth.assertThat(this.sink.end()).isEqualTo("completed");
		Truth.assertThat(this.sink.violations).isEmpty();
		Truth.assertThat(this.fixture.admissions.get("entry-1").settled.get(this.sink.id())).isEqualTo(10 + 41);
		Truth.assertThat(this.fixture.pool.used).isEqualTo(0);
		Truth.assertThat(this.service.unfinished()).isEqualTo(0);
	}

	@Test
	void callsAPlainServiceOnce() {
		this.service.call(RequestFixture.booking(null, false), this.sink);
		this.fixture.run();
		this.fixture.engines.calls.get(0).reply().complete(new ServiceReply(201, Map.of(), new byte[0]));
		Truth.assertThat(this.sink.end()).isEqualTo("completed");
		Truth.assertThat(this.sink.reply.status()).isEqualTo(201);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

}
