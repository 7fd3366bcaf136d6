package org.bramleyscale.standins.platform;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the HTTP routes of the platform stand-in, including admin routes and status
 * codes.
 */
class PlatformServerTests {

	private static final String VM = "{\"vm\":\"entry-1\",\"dataCentre\":\"quan1\",\"peerAddress\":\"127.0.0.1:1\","
			+ "\"httpAddress\":\"127.0.0.1:2\",\"leaving\":true}";

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			POST   | /admin/faults | {"kind":"DOWN","operation":"READ","calls":1} | 200 | {"injected":true}
			GET    | /admin/faults | ''     | 200 | []
			DELETE | /admin/faults | ''     | 200 | {"cleared":true}
			GET    | /admin/calls  | ''     | 200 | {}
			GET    | /vms          | ''     | 200 | []
			POST   | /vms          | $VM    | 204 | ''
			DELETE | /vms/entry-1  | ''     | 204 | ''
			GET    | /objects/a    | ''     | 200 | {"revision":0,"gap":false,"changed":[]}
			GET    | /objects/a/b  | ''     | 404 | ''
			PUT    | /objects/a/b?expected=3 | x | 409 | a/b has version 0, expected 3
			""")
	void respondsToEachRoute(String method, String path, String body, int status, String expected) throws Exception {
		try (PlatformServer server = new PlatformServer(0, PlatformLimits.DEFAULT)) {
			HttpResponse<String> response = send(server, method, path, body.replace("$VM", VM));
			Truth.assertThat(response.statusCode()).isEqualTo(status);
			Truth.assertThat(response.body()).isEqualTo(expected);
		}
	}

	private static HttpResponse<String> send(PlatformServer server, String method, String path, String body)
			throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build();
		return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
	}

}
