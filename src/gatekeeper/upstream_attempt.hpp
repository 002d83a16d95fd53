/// What goes in and out of the upstream pool: an attempt's request and end, limits, addresses and counts.
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

/// How an attempt ended, with the response body if the worker answered 200.
struct AttemptEnd {
  decision::AttemptOutcome outcome;
  std::string body;  ///< of a streamed response: its last piece only
  std::string contentType;
  bool streamed = false;            ///< earlier pieces of the body have been handed to UpstreamStreams
  MemoryBudget::Charge bodyMemory;  ///< accounts for `body`; travels with it
};

/// What an attempt sends: all bytes at once, or the head with the beginning of a body that is streamed.
struct AttemptRequest {
  using BodyPieceHandler = std::function<void(std::string&& piece, bool last)>;

  /// Called once, when the first byte may be written: the one place from which anything is sent to a worker.
  /// `nullopt`: nothing may be sent any more, and the attempt ends as one that could not connect.
  std::function<std::optional<std::string>()> serialize;
  std::size_t maxSerializedBytes = 0;  ///< upper bound of what `serialize` returns, for the memory budget
  /// Asks for the next body piece; empty where `serialize` returns the whole request.
  std::function<void(BodyPieceHandler)> readBody;
  bool chunkedBody = false;  ///< the streamed body is sent with chunked transfer encoding
};

/// Limits of the upstream pool.
struct UpstreamLimits {
  std::chrono::milliseconds connectTimeout{250};
  std::chrono::milliseconds idleTimeout{24000};  ///< shorter than a worker's own
  std::size_t maxConnections = 480;              ///< to all workers together
  std::size_t maxIdlePerWorker = 64;
  /// Longest pause of a worker within a streamed request body or response.
  std::chrono::milliseconds streamStallTimeout{10000};
};

/// Where a worker listens.
struct WorkerAddress {
  boost::asio::ip::tcp::endpoint endpoint;
  /// Start of the worker's present process: connections opened earlier went to the one before.
  std::chrono::steady_clock::time_point processStartedAt = std::chrono::steady_clock::time_point::min();
};

/// Receives responses that are too long to be buffered whole. Called from the event loop.
struct UpstreamStreams {
  /// A 200 response is streamed from here on; `length` is its Content-Length, if it has one.
  std::function<void(decision::RequestId, const std::string& contentType,
                     std::optional<std::uint64_t> length)>
      onResponseStart;
  /// The next piece of the body. Nothing more is read until `UpstreamPool::resumeResponse`.
  std::function<void(decision::RequestId, std::string&& piece)> onBodyPiece;
};

/// Counts since the last `UpstreamPool::takeStats`, for the service log.
struct UpstreamStats {
  std::array<unsigned, 8> results{};  ///< attempts ended, by decision::AttemptResult
  unsigned malformedResponses = 0;    ///< no HTTP response, or one past the limits
  unsigned resetReused = 0;           ///< connections lost during an attempt that was not their first
  unsigned resetInResponse = 0;       ///< connections lost within a response
  std::size_t maxBufferedBytes = 0;   ///< of one response: read and not yet parsed

  void count(decision::AttemptResult result) { ++results[static_cast<std::size_t>(result)]; }
};

}  // namespace wingslip
