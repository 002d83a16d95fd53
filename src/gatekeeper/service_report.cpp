/// Format and interval of the service log's periodic lines. See service_report.hpp.
#include "gatekeeper/service_report.hpp"

#include <chrono>
#include <utility>

#include "net/http.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

using decision::AttemptResult;

constexpr auto kReportInterval = std::chrono::seconds(5);

}  // namespace

void logServiceReport(const ServiceSample& sample) {
  const auto countOf = [&](AttemptResult result) {
    return sample.upstream.results[static_cast<std::size_t>(result)];
  };
  processLog().info(
      "event=requests served={} refused={} failed={} rejected={} held={} client_connections={} "
      "most_buffered_client={} most_waited_ms={:.0f}",
      sample.responses.served, sample.responses.rejected, sample.responses.failed, sample.clients.rejected,
      sample.requestsInFlight, sample.clientConnections, sample.clients.maxBufferedBytes,
      sample.clients.maxUnreadWaitMs);
  processLog().info(
      "event=attempts ok={} error={} unreadable={} full={} timeout={} "
      "timeout_in_answer={} unconnected={} reset={} reset_reused={} reset_in_answer={} cancelled={} "
      "worker_connections={} most_buffered_worker={}",
      countOf(AttemptResult::ok), countOf(AttemptResult::error), sample.upstream.malformedResponses,
      countOf(AttemptResult::overloaded), countOf(AttemptResult::timeout),
      sample.upstream.timeoutsDuringResponse, countOf(AttemptResult::connectFailed),
      countOf(AttemptResult::reset), sample.upstream.resetsOnReusedConnections,
      sample.upstream.resetsDuringResponse, countOf(AttemptResult::cancelled), sample.workerConnections,
      sample.upstream.maxBufferedBytes);
  processLog().info("event=lists read={} longest_line={} lists={} calls={} invariants_broken={}",
                    sample.discovery.bytesRead, sample.discovery.longestMessageBytes, sample.discovery.lists,
                    sample.discovery.connects, sample.invariantsBroken);
}

ReportTimer::ReportTimer(boost::asio::io_context& io, std::function<void()> report)
    : report_(std::move(report)), timer_(io) {}

void ReportTimer::start() {
  timer_.expires_after(kReportInterval);
  timer_.async_wait([this](const Error& error) {
    if (error) return;
    report_();
    start();
  });
}

}  // namespace wingslip
