/// The periodic report in the log.
#include "gatekeeper/gatekeeper.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;

constexpr auto kReportInterval = 5s;

}  // namespace

// Final answers, how attempts ended, connections and the largest buffers.
void Gatekeeper::reportLater() {
  report_.expires_after(kReportInterval);
  report_.async_wait([this](const Error& error) {
    if (error) return;
    report();
    reportLater();
  });
}

void Gatekeeper::report() {
  const UpstreamPool::Stats pool = pool_.takeStats();
  const ClientServer::Stats server = server_.takeStats();
  const DiscoveryClient::Stats discovery = discovery_->takeStats();
  const auto ended = [&](AttemptResult result) { return pool.results[static_cast<std::size_t>(result)]; };
  processLog().info(
      "event=requests served={} refused={} failed={} rejected={} held={} client_connections={} "
      "most_buffered_client={} most_waited_ms={:.0f}",
      served_, refused_, failed_, server.rejected, held_.size(), server_.connections(), server.mostBuffered,
      server.mostWaited);
  processLog().info(
      "event=attempts ok={} error={} unreadable={} full={} timeout={} unconnected={} reset={} "
      "reset_reused={} reset_in_answer={} cancelled={} worker_connections={} most_buffered_worker={}",
      ended(AttemptResult::ok), ended(AttemptResult::error), pool.unreadable,
      ended(AttemptResult::overloaded), ended(AttemptResult::timeout), ended(AttemptResult::connectFailed),
      ended(AttemptResult::reset), pool.resetReused, pool.resetInAnswer, ended(AttemptResult::cancelled),
      pool_.connections(), pool.mostBuffered);
  processLog().info("event=lists read={} longest_line={} lists={} calls={} invariants_broken={}",
                    discovery.bytesRead, discovery.longestMessageBytes, discovery.lists, discovery.connects,
                    monitor_.total());
  served_ = refused_ = failed_ = 0;
  pressure_.logReport();
}

}  // namespace wingslip
