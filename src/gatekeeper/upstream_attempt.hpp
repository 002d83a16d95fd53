/// Types of the upstream pool's interface: the request and outcome of an attempt, limits, worker addresses
/// and statistics.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "overload/memory_budget.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The outcome of an attempt, with the response body. Only the body of a 200 is forwarded to the client.
struct AttemptEnd {
  decision::AttemptOutcome outcome;
  std::string body;  ///< the complete body; only its last piece if the response was streamed
  std::string contentType;
  bool streamed = false;            ///< `UpstreamStreams` received the earlier pieces of the body
  MemoryBudget::Charge bodyMemory;  ///< the memory charge for `body`; moves with it
};

/// The request of an attempt: either the complete message, or the header and the first piece of a streamed
/// body.
struct AttemptRequest {
  using BodyPieceHandler = std::function<void(std::string&& piece, bool last)>;

  /// Returns the first bytes to write. Called at most once, immediately before the first byte is written;
  /// every request to a worker passes through this call. `nullopt` if the request must no longer be sent; the
  /// attempt then ends as connectFailed.
  std::function<std::optional<std::string>()> serialize;
  /// Whether a request that is partly written may still be completed. Called before each further write, since
  /// the worker may have taken nothing for a while; if it returns false, the attempt ends as connectFailed.
  std::function<bool()> mayComplete;
  /// Time until the request's deadline, zero or below past it: a streamed response is not ended for lack of
  /// progress before. May be null.
  std::function<std::chrono::steady_clock::duration()> remainingTime = nullptr;
  /// Upper bound in bytes of the size that `serialize` returns, for the memory budget.
  std::size_t maxSerializedBytes = 0;
  /// Reads the next piece of a streamed body. Null if `serialize` returns the complete request.
  std::function<void(BodyPieceHandler)> readBody;
  bool chunkedBody = false;  ///< the streamed body is sent with chunked transfer encoding
};

/// Connection limits and timeouts of the upstream pool.
struct UpstreamLimits {
  std::chrono::milliseconds connectTimeout{250};
  std::chrono::milliseconds idleTimeout{24000};  ///< shorter than the workers' own idle timeout
  std::size_t maxConnections = 480;              ///< to all workers in total
  std::size_t maxIdlePerWorker = 64;
  /// Longest time without progress by the worker while a request body or a response is streamed. A response
  /// is awaited until its request's deadline if that is longer.
  std::chrono::milliseconds streamStallTimeout{10000};
};

/// The address of a worker, and the start time of its process.
struct WorkerAddress {
  boost::asio::ip::tcp::endpoint endpoint;
  /// Start time of the worker's current process. Connections opened earlier lead to its previous process.
  std::chrono::steady_clock::time_point processStartedAt = std::chrono::steady_clock::time_point::min();
};

/// Receives responses that exceed the response buffer, piece by piece. Called on the event loop.
struct UpstreamStreams {
  /// A 200 response will be streamed. `length`: its Content-Length in bytes, `nullopt` if it has none.
  std::function<void(decision::RequestId, const std::string& contentType,
                     std::optional<std::uint64_t> length)>
      onResponseStart;
  /// The next piece of the body. Reading pauses until `UpstreamPool::resumeResponse` is called.
  std::function<void(decision::RequestId, std::string&& piece)> onBodyPiece;
  /// The header of a response has been received, and its end has not. Called once for each such attempt,
  /// whether or not its response is streamed later; may be null.
  std::function<void(decision::RequestId)> onResponseHeader = nullptr;
};

/// Statistics since the last `UpstreamPool::takeStats`, for the service log.
struct UpstreamStats {
  std::array<unsigned, 8> results{};       ///< number of ended attempts, indexed by decision::AttemptResult
  unsigned malformedResponses = 0;         ///< responses that are not valid HTTP or exceed a limit
  unsigned resetsOnReusedConnections = 0;  ///< connections lost during an attempt on a reused connection
  unsigned resetsDuringResponse = 0;       ///< connections lost after a response had started
  unsigned timeoutsDuringResponse = 0;     ///< attempts that timed out after a response had started
  std::size_t maxBufferedBytes = 0;        ///< most bytes of one response that were read but not yet parsed

  /// Counts one ended attempt.
  void count(decision::AttemptResult result) { ++results[static_cast<std::size_t>(result)]; }
};

}  // namespace wingslip
