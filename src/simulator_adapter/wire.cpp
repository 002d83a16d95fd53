/// Encoding and decoding of the simulator's wire protocol.
#include "simulator_adapter/wire.hpp"

#include <bit>

namespace wingslip::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire format is little-endian");

using decision::AttemptResult;
using decision::EndpointUpdate;
using decision::RequestId;
using decision::Time;
using decision::WorkerId;
using decision::WorkerPhase;

/// Record codes of the simulator's events.
enum class EventCode : std::uint8_t {
  start = 10,
  endpoints = 20,
  request = 30,
  streamStarted = 40,
  attemptOutcome = 50,
  clientDisconnect = 60,
  timer = 70,
  probeResult = 80,
  peerMessage = 90,
  stop = 100,
  counterAnswer = 110,
  instance = 120,
};

/// Record codes of the actions in a reply.
enum class ActionCode : std::uint8_t {
  startAttempt = 10,
  reject = 20,
  fail = 30,
  setTimer = 50,
  log = 90,
  pollEndpoints = 110,
  instance = 140,
};

constexpr unsigned kWorkerLowBits = 32;

/// Sequential reader of a frame's bytes. Reading beyond the end throws WireError.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : remaining_(bytes) {}

  template <class T>
  T get() {
    T value;
    std::memcpy(&value, bytes(sizeof(T)).data(), sizeof(T));
    return value;
  }
  std::string_view bytes(std::size_t count) {
    if (count > remaining_.size()) throw WireError("record exceeds its frame");
    const auto out = remaining_.substr(0, count);
    remaining_.remove_prefix(count);
    return out;
  }
  template <class T>
  void skip() {
    bytes(sizeof(T));
  }
  WorkerId worker() {
    const WorkerId low = get<std::uint32_t>();
    return low | WorkerId{get<std::uint16_t>()} << kWorkerLowBits;
  }
  bool empty() const { return remaining_.empty(); }
  std::size_t remaining() const { return remaining_.size(); }

 private:
  std::string_view remaining_;
};

AttemptResult attemptResult(std::uint8_t code) {
  switch (code) {
    case 0:
      return AttemptResult::ok;
    case 5:
      return AttemptResult::error;
    case 11:
      return AttemptResult::overloaded;
    case 104:
      return AttemptResult::reset;
    case 110:
      return AttemptResult::timeout;
    case 111:
      return AttemptResult::connectFailed;
    case 114:
      return AttemptResult::notSent;
    case 125:
      return AttemptResult::cancelled;
    default:
      throw WireError("unknown attempt result code " + std::to_string(code));
  }
}

WorkerPhase workerPhase(std::uint8_t code) {
  switch (code) {
    case 0:
      return WorkerPhase::removed;
    case 1:
      return WorkerPhase::ready;
    case 2:
      return WorkerPhase::draining;
    default:
      throw WireError("unknown worker phase code " + std::to_string(code));
  }
}

EndpointUpdate endpointUpdate(std::uint8_t code) {
  switch (code) {
    case 0:
      return EndpointUpdate::failed;
    case 1:
      return EndpointUpdate::delta;
    case 2:
      return EndpointUpdate::cached;
    case 3:
      return EndpointUpdate::snapshot;
    default:
      throw WireError("unknown endpoint update code " + std::to_string(code));
  }
}

std::vector<double> readLoadReport(Cursor& in) {
  std::vector<double> report(in.get<std::uint8_t>());
  for (double& value : report) value = in.get<float>();
  return report;
}

decision::Endpoint readEndpoint(Cursor& in) {
  decision::Endpoint out;
  out.phase = workerPhase(in.get<std::uint8_t>());
  out.worker = in.worker();
  in.skip<float>();  // relative weight, not used by the decision module
  out.zone = in.get<std::uint8_t>();
  out.machineType = in.get<std::uint8_t>();
  out.startedAt = in.get<double>();
  out.cell = in.get<std::uint16_t>();
  return out;
}

void readEndpoints(Cursor& in, EventSink& sink) {
  constexpr std::size_t kEndpointBytes = 23;
  const EndpointUpdate kind = endpointUpdate(in.get<std::uint8_t>());
  in.skip<std::uint32_t>();  // version of the endpoint list
  const auto rows = in.get<std::uint32_t>();
  if (rows > in.remaining() / kEndpointBytes) throw WireError("endpoint list exceeds its frame");
  std::vector<decision::Endpoint> list(rows);
  for (decision::Endpoint& endpoint : list) endpoint = readEndpoint(in);
  sink.onEndpoints(kind, list);
}

void readRequest(Cursor& in, EventSink& sink) {
  constexpr float kMaxGateways = 65536;
  decision::Request out;
  out.id = in.get<std::uint32_t>();
  out.classIndex = in.get<std::uint8_t>();
  out.planIndex = in.get<std::uint32_t>();
  out.customer = in.get<std::uint64_t>();
  out.expiresAt = in.get<double>();
  out.units = in.get<float>();
  const float gateways = in.get<float>();
  // A count that is out of range or not a number is replaced by 1.
  out.customerGatewayCount = gateways >= 1 && gateways < kMaxGateways ? static_cast<unsigned>(gateways) : 1;
  in.skip<float>();          // first gateway of the customer's subset
  in.skip<std::uint16_t>();  // state flags
  sink.onRequest(out);
}

void readAttemptOutcome(Cursor& in, EventSink& sink) {
  decision::AttemptOutcome out;
  out.id = in.get<std::uint32_t>();
  out.result = attemptResult(in.get<std::uint8_t>());
  out.attempt = in.get<std::uint16_t>();
  out.actualUnits = in.get<std::uint16_t>();
  out.worker = in.worker();
  out.quotaUsePercent = static_cast<int>(in.get<std::uint16_t>()) - 1;  // encoded plus 1; 0: no reading
  out.latencyMs = in.get<double>();
  out.requestFinished = in.get<std::uint8_t>() != 0;
  out.loadReport = readLoadReport(in);
  sink.onAttemptOutcome(out);
}

void readStart(Cursor& in, EventSink& sink) {
  const auto randomSeed = in.get<std::uint64_t>();
  sink.onStart(randomSeed, in.bytes(in.get<std::uint32_t>()));
}

/// Skips a record of a feature that the decision module does not use.
void skipUnused(EventCode code, Cursor& in) {
  constexpr std::size_t kStreamStartedBytes = 4 + 8 + 6 + 2;
  constexpr std::size_t kProbeBytes = 1 + 6 + 8;
  constexpr std::size_t kCounterAnswerBytes = 4 + 8 + 8 + 1;
  switch (code) {
    case EventCode::streamStarted:
      in.bytes(kStreamStartedBytes);
      return;
    case EventCode::probeResult:
      in.bytes(kProbeBytes);
      readLoadReport(in);
      return;
    case EventCode::counterAnswer:
      in.bytes(kCounterAnswerBytes);
      return;
    case EventCode::peerMessage:
      in.skip<std::uint32_t>();
      in.bytes(in.get<std::uint16_t>());
      return;
    default:
      throw WireError("unknown record code " + std::to_string(static_cast<unsigned>(code)));
  }
}

void readRecord(Cursor& in, EventSink& sink) {
  const auto code = static_cast<EventCode>(in.get<std::uint8_t>());
  switch (code) {
    case EventCode::instance:
      return sink.onInstance(in.get<std::uint16_t>());
    case EventCode::start:
      return readStart(in, sink);
    case EventCode::endpoints:
      return readEndpoints(in, sink);
    case EventCode::request:
      return readRequest(in, sink);
    case EventCode::attemptOutcome:
      return readAttemptOutcome(in, sink);
    case EventCode::clientDisconnect:
      return sink.onClientDisconnect(in.get<std::uint32_t>());
    case EventCode::timer:
      return sink.onTimer(in.get<std::uint64_t>());
    case EventCode::stop:
      return sink.onStop();
    default:
      return skipUnused(code, in);
  }
}

}  // namespace

FrameHeader readFrameHeader(std::string_view bytes) {
  Cursor in(bytes);
  FrameHeader out;
  out.number = in.get<std::uint32_t>();
  out.clock = in.get<double>();
  out.sizeBytes = in.get<std::uint32_t>();
  out.records = in.get<std::uint32_t>();
  if (out.sizeBytes < kFrameHeaderBytes || out.sizeBytes > kMaxFrameBytes)
    throw WireError("invalid frame size: " + std::to_string(out.sizeBytes) + " bytes");
  return out;
}

void readRecords(const FrameHeader& header, std::string_view body, EventSink& sink) {
  Cursor in(body);
  for (std::uint32_t i = 0; i < header.records; ++i) readRecord(in, sink);
  if (!in.empty()) throw WireError("trailing bytes after the last record");
}

void ReplyWriter::begin(std::uint32_t frameNumber) {
  bytes_.clear();
  put(frameNumber);
  put(std::uint32_t{0});  // size of the frame and number of records, both set by `finish`
  put(std::uint32_t{0});
  records_ = 0;
  instance_ = kNoInstance;
  writtenInstance_ = kNoInstance;
}

const std::string& ReplyWriter::finish() {
  constexpr std::size_t kSizeOffset = 4;
  constexpr std::size_t kRecordsOffset = 8;
  const auto size = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data() + kSizeOffset, &size, sizeof size);
  std::memcpy(bytes_.data() + kRecordsOffset, &records_, sizeof records_);
  return bytes_;
}

void ReplyWriter::beginRecord(std::uint8_t code) {
  if (instance_ != writtenInstance_) {
    put(static_cast<std::uint8_t>(ActionCode::instance));
    put(static_cast<std::uint16_t>(instance_));
    writtenInstance_ = instance_;
    ++records_;
  }
  put(code);
  ++records_;
}

void ReplyWriter::putWorker(WorkerId worker) {
  put(static_cast<std::uint32_t>(worker));
  put(static_cast<std::uint16_t>(worker >> kWorkerLowBits));
}

void ReplyWriter::startAttempt(RequestId id, WorkerId worker, Time timeoutMs) {
  beginRecord(static_cast<std::uint8_t>(ActionCode::startAttempt));
  put(id);
  putWorker(worker);
  put(timeoutMs);
}

void ReplyWriter::reject(RequestId id, Time retryAfterMs) {
  beginRecord(static_cast<std::uint8_t>(ActionCode::reject));
  put(id);
  put(retryAfterMs);
}

void ReplyWriter::fail(RequestId id) {
  beginRecord(static_cast<std::uint8_t>(ActionCode::fail));
  put(id);
}

void ReplyWriter::setTimer(Time waitMs, std::uint64_t tag) {
  beginRecord(static_cast<std::uint8_t>(ActionCode::setTimer));
  put(waitMs);
  put(tag);
}

void ReplyWriter::pollEndpoints() {
  constexpr std::uint8_t kIncludeDeltas = 1;
  beginRecord(static_cast<std::uint8_t>(ActionCode::pollEndpoints));
  put(kIncludeDeltas);
}

void ReplyWriter::log(const std::string& line) {
  constexpr std::size_t kMaxLineBytes = 65535;
  beginRecord(static_cast<std::uint8_t>(ActionCode::log));
  const auto size = static_cast<std::uint16_t>(line.size() < kMaxLineBytes ? line.size() : kMaxLineBytes);
  put(size);
  bytes_.append(line, 0, size);
}

}  // namespace wingslip::simulator_adapter
