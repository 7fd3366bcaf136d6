package org.bramleyscale.internal.platform;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * Encodes and decodes the platform's lists as JSON.
 *
 * <p>
 * Values are base64-encoded. Unknown fields are ignored, so that the platform can add
 * fields. Stateless and safe for use by multiple threads.
 */
public final class PlatformCodec {

	private static final TypeReference<List<VmDocument>> VM_LIST = new TypeReference<>() {
	};

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	private PlatformCodec() {
	}

	public static byte[] writeBatch(WatchBatch batch) {
		List<ObjectDocument> changed = batch.changed().stream().map(ObjectDocument::of).toList();
		return write(new BatchDocument(batch.revision(), batch.gap(), changed));
	}

	/**
	 * Reads the objects of one kind.
	 * @param kind the kind that was requested
	 * @param json the document
	 * @return the batch
	 * @throws IOException if the document is malformed
	 */
	public static WatchBatch readBatch(String kind, byte[] json) throws IOException {
		BatchDocument document = mapper.readValue(json, BatchDocument.class);
		List<StoredObject> changed = document.changed().stream().map((entry) -> entry.toObject(kind)).toList();
		return new WatchBatch(document.revision(), document.gap(), changed);
	}

	public static byte[] writeVms(List<VmRecord> vms) {
		return write(vms.stream().map(VmDocument::of).toList());
	}

	public static List<VmRecord> readVms(byte[] json) throws IOException {
		return mapper.readValue(json, VM_LIST).stream().map(VmDocument::toRecord).toList();
	}

	public static byte[] writeVm(VmRecord vm) {
		return write(VmDocument.of(vm));
	}

	public static VmRecord readVm(byte[] json) throws IOException {
		return mapper.readValue(json, VmDocument.class).toRecord();
	}

	private static byte[] write(Object document) {
		try {
			return mapper.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not encode platform document as JSON", ex);
		}
	}

	/**
	 * The JSON form of a batch.
	 */
	private record BatchDocument(long revision, boolean gap, List<ObjectDocument> changed) {
	}

	/**
	 * The JSON form of an object within a batch.
	 */
	private record ObjectDocument(String name, long version, byte[] value) {

		static ObjectDocument of(StoredObject object) {
			return new ObjectDocument(object.key().name(), object.version(), object.value());
		}

		StoredObject toObject(String kind) {
			return new StoredObject(new ObjectKey(kind, this.name), this.version, this.value);
		}

	}

	/**
	 * The JSON form of an entry in the list of VMs.
	 */
	private record VmDocument(String vm, String dataCentre, String peerAddress, String httpAddress, boolean leaving) {

		static VmDocument of(VmRecord record) {
			return new VmDocument(record.vm().value(), record.dataCentre().value(), record.peerAddress(),
					record.httpAddress(), record.leaving());
		}

		VmRecord toRecord() {
			return new VmRecord(new VmId(this.vm), new DataCentre(this.dataCentre), this.peerAddress, this.httpAddress,
					this.leaving);
		}

	}

}
