/// Workers that operators exclude by hand: their calls, what the other process of an upgrade has excluded,
/// and what other gatekeepers replicate.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "gatekeeper/exclusions.hpp"
#include "gatekeeper/ops_server.hpp"

namespace wingslip {

/// Which workers a change excludes and includes, by instance id in ascending order.
struct ExclusionChange {
  std::vector<std::string> excluded;
  std::vector<std::string> included;
};

/// Owns the exclusions and their file. Everything runs on the one event loop.
class ExclusionControl {
 public:
  using Changed = std::function<void(const ExclusionChange&)>;

  /// Reads the file in `stateDir`; empty: nothing is kept. `changed` is called for each change, also from
  /// within the functions here.
  ExclusionControl(boost::asio::io_context& io, const std::string& stateDir, Changed changed);

  /// Reports those in force as excluded.
  void applyAll();
  /// From now on, every 250 ms: takes over what the other process of an upgrade has written, and writes again
  /// what could not be written. `known` is called after each look at which the exclusions are known.
  void follow(std::function<void()> known);

  /// False: the file could not be read so far, so that nobody knows who is excluded.
  bool isLoaded() const { return exclusions_.isLoaded(); }
  /// A list has named this worker: operators may exclude it.
  void addNamed(const std::string& id);
  ExclusionResult set(const std::string& id, bool excluded);
  /// Another gatekeeper, or this one before its restart, has excluded or included a worker.
  void onReplicated(const std::string& id, bool excluded);

 private:
  void scheduleFollow();
  void apply(const std::set<std::string>& before);

  Exclusions exclusions_;
  std::unordered_set<std::string> named_;
  const Changed changed_;
  std::function<void()> onKnown_;
  boost::asio::steady_timer followTimer_;
};

}  // namespace wingslip
